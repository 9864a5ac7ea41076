package io.fireflyshed.coordination.health;

/** The health of an instance according to its probes. */
public enum InstanceHealth {
  /** The instance answers in time. */
  HEALTHY,
  /**
   * The instance failed its last probe, answers slowly or has not answered yet; it may recover by
   * itself.
   */
  SUSPECT,
  /** The instance has given no answer for long enough to count as lost. */
  FAILED,
  /** The instance answers, but has failed too often recently to be relied on. */
  UNSTABLE
}
