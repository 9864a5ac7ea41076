package io.fireflyshed.state.target;

/** Lists the phases of a member of a replica. The phase of the head is that of the replica. */
public enum MembershipPhase {
  /** The member is loading the model weights. */
  JOINING,
  /** The member is ready, but the replica does not serve requests yet. */
  READY,
  /** The replica serves requests. */
  OPEN,
  /** The replica finishes the requests that it has and accepts no new ones. */
  CLOSING,
  /** The replica has lost a member and can't serve. */
  BROKEN
}
