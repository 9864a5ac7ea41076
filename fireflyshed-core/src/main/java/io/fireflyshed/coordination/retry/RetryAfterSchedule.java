package io.fireflyshed.coordination.retry;

import java.time.Duration;

/**
 * Spaces the retries of refused callers at the rate at which capacity becomes free.
 *
 * <p>A burst of requests that is refused at once must not come back as one. Capacity becomes free
 * as requests end, so the retry of each refused caller is scheduled one mean gap between ends after
 * that of the caller before it. Not thread safe.
 */
public final class RetryAfterSchedule {

  /** Weight of a new gap between two ends in the moving average. */
  private static final double GAP_WEIGHT = 0.1;

  /** Shortest wait, about the time of two passes of a replica. */
  public static final Duration MIN_WAIT = Duration.ofMillis(150);

  /** Longest wait; callers spend at most a third of their deadline on it. */
  public static final Duration MAX_WAIT = Duration.ofMillis(1600);

  private double gapNanos;
  private long lastEndNanos = Long.MIN_VALUE;
  private long nextNanos = Long.MIN_VALUE;

  /**
   * Records that a request ended, so that capacity became free.
   *
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onEnd(long nowNanos) {
    if (lastEndNanos != Long.MIN_VALUE) {
      double gap = nowNanos - lastEndNanos;
      gapNanos = gapNanos == 0 ? gap : gapNanos + GAP_WEIGHT * (gap - gapNanos);
    }
    lastEndNanos = nowNanos;
  }

  /**
   * Returns the wait of the next refused caller.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return a time from {@link #MIN_WAIT} to {@link #MAX_WAIT}, never null
   */
  public Duration next(long nowNanos) {
    long earliest = nowNanos + MIN_WAIT.toNanos();
    if (nextNanos == Long.MIN_VALUE || nextNanos - earliest < 0) {
      nextNanos = earliest;
    } else {
      nextNanos += gapNanos == 0 ? MIN_WAIT.toNanos() : (long) gapNanos;
    }
    if (nextNanos - nowNanos > MAX_WAIT.toNanos()) {
      nextNanos = nowNanos + MAX_WAIT.toNanos();
    }
    return Duration.ofNanos(nextNanos - nowNanos);
  }
}
