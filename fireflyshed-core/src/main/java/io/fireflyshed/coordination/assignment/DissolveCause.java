package io.fireflyshed.coordination.assignment;

/** Names why a replica is dissolved. */
public enum DissolveCause {
  /** A member is lost, and waiting for it costs more than replacing it. */
  MEMBER_LOST,
  /** A member leaves, or the operator drains the replica. */
  DRAIN,
  /** The members are wanted for another replica that becomes whole sooner. */
  REGROUP,
  /** The service wants fewer replicas. */
  SURPLUS
}
