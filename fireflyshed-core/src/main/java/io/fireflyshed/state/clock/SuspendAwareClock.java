package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that also counts the time for which the machine was suspended.
 *
 * <p>If the wall clock has advanced further than the underlying monotonic clock since the last
 * reference reading, by more than a threshold, the machine is assumed to have been suspended for
 * the difference. A forward step of the wall clock has the same effect; it only makes leases and
 * earlier readings appear older than they are, which is safe. Thread safe.
 */
public final class SuspendAwareClock implements MonotonicClock {

  /**
   * The difference above which a suspension is assumed. It exceeds the jitter between the readings
   * of the two clocks and that of slow scheduling.
   */
  static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(300);

  private final MonotonicClock monotonic;
  private final LongSupplier wallMillis;
  private long referenceNanos;
  private long referenceWallNanos;
  private long suspendedNanos;

  /**
   * Creates a clock.
   *
   * @param monotonic the underlying monotonic clock, not null
   * @param wallMillis returns the reading of the wall clock in milliseconds, not null
   */
  public SuspendAwareClock(MonotonicClock monotonic, LongSupplier wallMillis) {
    this.monotonic = Objects.requireNonNull(monotonic, "monotonic");
    this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    referenceNanos = monotonic.nanoTime();
    referenceWallNanos = Duration.ofMillis(wallMillis.getAsLong()).toNanos();
  }

  @Override
  public synchronized long nanoTime() {
    long monotonicNanos = monotonic.nanoTime();
    long wallNanos = Duration.ofMillis(wallMillis.getAsLong()).toNanos();
    long gapNanos = (wallNanos - referenceWallNanos) - (monotonicNanos - referenceNanos);
    if (gapNanos > SUSPENSION_THRESHOLD.toNanos()) {
      suspendedNanos += gapNanos;
    }
    if (Math.abs(gapNanos) > SUSPENSION_THRESHOLD.toNanos()
        || monotonicNanos - referenceNanos > SUSPENSION_THRESHOLD.toNanos()) {
      referenceNanos = monotonicNanos;
      referenceWallNanos = wallNanos;
    }
    return monotonicNanos + suspendedNanos;
  }
}
