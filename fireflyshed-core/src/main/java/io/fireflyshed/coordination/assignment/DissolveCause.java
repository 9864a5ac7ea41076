package io.fireflyshed.coordination.assignment;

/** The reasons for dissolving a replica. */
public enum DissolveCause {
  /** A member is lost, and waiting for it costs more than replacing it. */
  MEMBER_LOST,
  /** A member is leaving, or an operator drains the replica. */
  DRAIN,
  /** The members are needed for another replica that can be completed sooner. */
  REGROUP,
  /** The service needs fewer replicas. */
  SURPLUS
}
