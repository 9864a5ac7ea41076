package io.fireflyshed.coordination.placement;

import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Tells callers when to come back. Not thread safe. */
final class PlacementRefusals {

  /** Retry delay if no target is available, about the time in which a replica is repaired. */
  static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(2000);

  private final Map<String, RetryAfterSchedule> schedules = new HashMap<>();

  /** Records that a request for a pool ended. */
  void onEnd(String pool, long nowNanos) {
    getSchedule(pool).onEnd(nowNanos);
  }

  /**
   * Refuses a request that no target may get.
   *
   * @param suspectNanos the time until one of those that can't be reached is tried again, empty if
   *     there is none
   */
  static Placement refuseUnusable(OptionalLong suspectNanos) {
    long wait = Math.min(suspectNanos.orElse(Long.MAX_VALUE), NO_TARGET_RETRY_AFTER.toNanos());
    Duration retryAfter = Duration.ofNanos(Math.max(wait, RetryAfterSchedule.MIN_WAIT.toNanos()));
    Placement.Cause cause =
        suspectNanos.isPresent() ? Placement.Cause.UNREACHABLE : Placement.Cause.NO_CANDIDATE;
    return new Placement.Refuse(cause, "no target is available", retryAfter);
  }

  /**
   * Refuses a request that no target has room for.
   *
   * @param pool the pool of the request
   * @param isRunning whether the request also runs at a silent target, so that it takes no turn
   * @param limitWaitNanos the time until the request limit of a target with capacity admits the
   *     next request, {@code Long.MAX_VALUE} if no target has capacity
   */
  Placement refuseFull(String pool, boolean isRunning, long limitWaitNanos, long nowNanos) {
    Duration capacityWait =
        isRunning ? RetryAfterSchedule.MIN_WAIT : getSchedule(pool).next(nowNanos);
    if (limitWaitNanos == Long.MAX_VALUE) {
      return new Placement.Refuse(
          Placement.Cause.AT_CAPACITY, "all targets are at capacity", capacityWait);
    }
    // The caller may return to another entry, whose next slot is about as near.
    long wait = Math.min(limitWaitNanos, RetryAfterSchedule.MAX_WAIT.toNanos());
    return new Placement.Refuse(
        Placement.Cause.AT_REQUEST_LIMIT,
        "all targets with capacity are at their request limits",
        Duration.ofNanos(Math.max(wait, capacityWait.toNanos())));
  }

  /**
   * Refuses a request that every target would begin too late, as a caller that returns once there
   * is room is served better than one that waits beside others that are late, too.
   */
  Placement refuseLate(String pool, long nowNanos) {
    return new Placement.Refuse(
        Placement.Cause.AT_CAPACITY,
        "all targets are expected to respond late",
        getSchedule(pool).next(nowNanos));
  }

  private RetryAfterSchedule getSchedule(String pool) {
    return schedules.computeIfAbsent(pool, p -> new RetryAfterSchedule());
  }
}
