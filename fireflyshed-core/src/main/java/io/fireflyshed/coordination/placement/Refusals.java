package io.fireflyshed.coordination.placement;

import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Tells refused callers when capacity is expected, by pool. Not thread safe. */
final class Refusals {

  private final Map<String, RetryAfterSchedule> schedules = new HashMap<>();

  /** Records that a request ended, so that a target of the pool has capacity. */
  void onEnd(String pool, long nowNanos) {
    getSchedule(pool).onEnd(nowNanos);
  }

  /** Returns the wait of the next refused caller. */
  Duration next(String pool, long nowNanos) {
    return getSchedule(pool).next(nowNanos);
  }

  private RetryAfterSchedule getSchedule(String pool) {
    return schedules.computeIfAbsent(pool, p -> new RetryAfterSchedule());
  }

  /**
   * Refuses a request.
   *
   * @param limitWaitNanos the time until the request limit of a target with capacity admits the
   *     next request, {@code Long.MAX_VALUE} if no target has capacity
   * @param capacityWait the time until a target is expected to have capacity
   */
  Placement refuse(long limitWaitNanos, Duration capacityWait) {
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
}
