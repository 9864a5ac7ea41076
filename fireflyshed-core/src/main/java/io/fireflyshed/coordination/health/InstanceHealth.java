package io.fireflyshed.coordination.health;

/** Names what the probes say of an instance. */
public enum InstanceHealth {
  /** Answers in time. */
  HEALTHY,
  /** Failed its last probe, or answers late; it may come back by itself. */
  SUSPECT,
  /** Has given no answer for long enough to count as lost. */
  FAILED,
  /** Answers, but has failed too often of late to be relied on. */
  UNSTABLE
}
