package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;

/** Holds what the planner knows of one instance. Not thread safe. */
final class InstanceEntry {

  final InstanceId id;
  final DomainEntry domain;
  ReplicaEntry replica;
  int position;
  boolean isUp = true;
  boolean isGone;
  boolean isLoaded;
  boolean isLoading;
  long outSinceNanos;

  /** The due time of the timer that was set last for this instance. */
  long timerNanos;

  private double recentLosses;
  private double recentOutNanos;
  private long lastLossNanos;
  private long unstableUntilNanos;
  private boolean isUnstable;

  InstanceEntry(InstanceId id, DomainEntry domain) {
    this.id = id;
    this.domain = domain;
  }

  /** Marks the instance as lost and as unstable if it was lost too often of late. */
  void markLost(long nowNanos, RepairSettings settings) {
    double fade = Math.exp((lastLossNanos - nowNanos) / (double) settings.stableTime().toNanos());
    recentLosses = recentLosses * fade + 1;
    recentOutNanos *= fade;
    lastLossNanos = nowNanos;
    isUp = false;
    outSinceNanos = nowNanos;
    isUnstable = isUnstable(nowNanos) || recentLosses > settings.unstableLosses() - 1;
    unstableUntilNanos = Long.MAX_VALUE;
  }

  /** Marks the instance as up; an unstable one becomes stable if it stays up. */
  void markUp(long nowNanos, RepairSettings settings) {
    isUp = true;
    isGone = false;
    recentOutNanos += nowNanos - outSinceNanos;
    unstableUntilNanos = nowNanos + settings.stableTime().toNanos();
  }

  boolean isUnstable(long nowNanos) {
    if (isUnstable && isUp && nowNanos - unstableUntilNanos >= 0) {
      isUnstable = false;
      recentLosses = 0;
    }
    return isUnstable;
  }

  /** Gets for how long the instance was out of late, without the outage that still goes on. */
  double getRecentOutNanos() {
    return recentOutNanos;
  }

  long getUnstableUntilNanos() {
    return unstableUntilNanos;
  }
}
