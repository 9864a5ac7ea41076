package io.fireflyshed.state.target;

/** Names the phases of a member of a replica; the head's phase is that of the replica. */
public enum MembershipPhase {
  /** The member takes in the weights. */
  JOINING,
  /** The member is ready; the replica does not serve. */
  READY,
  /** The replica serves. */
  OPEN,
  /** The replica finishes its work and takes no more. */
  CLOSING,
  /** The replica lost a member and can't serve. */
  BROKEN
}
