package io.fireflyshed.coordination.placement;

import java.time.Duration;

/**
 * Tells refused callers when to come back, one after another at the pace at which room appears.
 *
 * <p>The load that it answers: a burst that is refused as one must not return as one. Room appears
 * as fast as requests end, so each refused caller is given the next free end after those that
 * refused callers before it were given. Not thread safe.
 */
final class ReturnSchedule {

  /** The weight of a new gap between two ends in their mean. */
  private static final double GAP_WEIGHT = 0.1;

  /** The shortest time to come back, about the time of two passes of a replica. */
  static final Duration MIN_WAIT = Duration.ofMillis(150);

  /** The longest time to come back; callers wait at most a third of their deadline. */
  static final Duration MAX_WAIT = Duration.ofMillis(1600);

  private double gapNanos;
  private long lastEndNanos = Long.MIN_VALUE;
  private long nextNanos = Long.MIN_VALUE;

  void onEnd(long nowNanos) {
    if (lastEndNanos != Long.MIN_VALUE) {
      double gap = nowNanos - lastEndNanos;
      gapNanos = gapNanos == 0 ? gap : gapNanos + GAP_WEIGHT * (gap - gapNanos);
    }
    lastEndNanos = nowNanos;
  }

  /** Gets the wait of the next refused caller. */
  Duration next(long nowNanos) {
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
