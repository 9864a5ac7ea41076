package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Counts the time for which the machine was suspended, which the monotonic clock leaves out.
 *
 * <p>A wall clock that ran ahead of the monotonic one by more than a threshold since the last
 * reading is taken as a suspension. A step of the wall clock looks the same; it only makes leases
 * and readings seem older than they are, which is safe. Thread safe.
 */
public final class SuspendAwareClock implements MonotonicClock {

  /**
   * The smallest gap that counts, above the jitter of two clock readings and of slow scheduling.
   */
  static final Duration THRESHOLD = Duration.ofMillis(300);

  private final MonotonicClock monotonic;
  private final LongSupplier wallMillis;
  private long lastNanos;
  private long lastWallNanos;
  private long suspendedNanos;

  /**
   * Creates a clock.
   *
   * @param monotonic the monotonic clock, not null
   * @param wallMillis the wall clock in milliseconds, not null
   */
  public SuspendAwareClock(MonotonicClock monotonic, LongSupplier wallMillis) {
    this.monotonic = Objects.requireNonNull(monotonic, "monotonic");
    this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    lastNanos = monotonic.nanoTime();
    lastWallNanos = Duration.ofMillis(wallMillis.getAsLong()).toNanos();
  }

  @Override
  public synchronized long nanoTime() {
    long nanos = monotonic.nanoTime();
    long wallNanos = Duration.ofMillis(wallMillis.getAsLong()).toNanos();
    long gap = (wallNanos - lastWallNanos) - (nanos - lastNanos);
    if (gap > THRESHOLD.toNanos()) {
      suspendedNanos += gap;
    }
    if (Math.abs(gap) > THRESHOLD.toNanos() || nanos - lastNanos > THRESHOLD.toNanos()) {
      lastNanos = nanos;
      lastWallNanos = wallNanos;
    }
    return nanos + suspendedNanos;
  }
}
