package io.fireflyshed.coordination.assignment;

/** Names what the coordinator thinks of an instance. */
public enum InstanceStatus {
  /** Answers its probes. */
  HEALTHY,
  /** Failed a probe or answers late; it may come back by itself. */
  SUSPECT,
  /**
   * Has failed its probes for long enough to count as lost, or is gone from the platform's list.
   */
  FAILED,
  /** Answers again, but failed too often of late to be placed in a replica. */
  UNSTABLE,
  /** Leaves, by the platform's list, its own word or the operator's. */
  LEAVING,
  /** Is free, but an order of the past may still reach it. */
  QUARANTINED
}
