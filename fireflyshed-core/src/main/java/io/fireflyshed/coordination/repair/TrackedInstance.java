package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.InstanceId;

/** What the planner knows about one instance. Not thread safe. */
final class TrackedInstance {

  final InstanceId id;
  final TrackedDomain domain;
  TrackedReplica replica;
  int position;
  boolean isUp = true;
  boolean isPermanentlyLost;
  boolean isLoaded;
  boolean isLoading;
  long downSinceNanos;

  /** The due time, in nanoseconds, of the timer that was last set for this instance. */
  long lastTimerNanos;

  private double recentLosses;
  private double recentDownNanos;
  private long lastLossNanos;
  private long unstableUntilNanos;
  private boolean isUnstable;

  TrackedInstance(InstanceId id, TrackedDomain domain) {
    this.id = id;
    this.domain = domain;
  }

  /** Marks the instance as lost, and as unstable if it has been lost too often recently. */
  void markLost(long nowNanos, RepairSettings settings) {
    double decay = Math.exp((lastLossNanos - nowNanos) / (double) settings.stableTime().toNanos());
    recentLosses = recentLosses * decay + 1;
    recentDownNanos *= decay;
    lastLossNanos = nowNanos;
    isUp = false;
    downSinceNanos = nowNanos;
    isUnstable = isUnstable(nowNanos) || recentLosses > settings.unstableLosses() - 1;
    unstableUntilNanos = Long.MAX_VALUE;
  }

  /** Marks the instance as up. An unstable instance becomes stable again if it stays up. */
  void markUp(long nowNanos, RepairSettings settings) {
    isUp = true;
    isPermanentlyLost = false;
    recentDownNanos += nowNanos - downSinceNanos;
    unstableUntilNanos = nowNanos + settings.stableTime().toNanos();
  }

  boolean isUnstable(long nowNanos) {
    if (isUnstable && isUp && nowNanos - unstableUntilNanos >= 0) {
      isUnstable = false;
      recentLosses = 0;
    }
    return isUnstable;
  }

  /** Returns the decayed total duration of recent outages, without the current one. */
  double getRecentDownNanos() {
    return recentDownNanos;
  }

  long getUnstableUntilNanos() {
    return unstableUntilNanos;
  }
}
