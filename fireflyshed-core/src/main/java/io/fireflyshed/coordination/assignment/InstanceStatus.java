package io.fireflyshed.coordination.assignment;

/** The coordinator's assessment of an instance. */
public enum InstanceStatus {
  /** The instance answers its probes. */
  HEALTHY,
  /** The instance failed a probe or answers slowly; it may recover by itself. */
  SUSPECT,
  /**
   * The instance has failed its probes for long enough to count as lost, or is missing from the
   * platform's list.
   */
  FAILED,
  /** The instance answers, but failed too often recently to be placed in a replica. */
  UNSTABLE,
  /**
   * The instance is leaving, according to the platform's list, its own answers, a peer or an
   * operator.
   */
  LEAVING,
  /** The instance is free, but an earlier order may still reach it. */
  QUARANTINED
}
