package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.Objects;

/**
 * Estimates a shared time from occasional readings of a {@link SharedTimeSource}, as described by
 * F. Cristian, "Probabilistic Clock Synchronization", 1989.
 *
 * <p>The error of a reading is at most half of its round trip. A reading with a longer round trip
 * than the current estimate's is ignored unless it shows that the estimate is wrong. Without any
 * reading the time has an arbitrary origin. Thread safe.
 */
public final class SharedClock {

  private final MonotonicClock clock;
  private long offsetNanos;

  /** The round trip of the reading in use, or a value above that of any reading. */
  private long roundTripNanos = Long.MAX_VALUE / 2;

  /**
   * Creates a clock without a reading.
   *
   * @param clock the clock of this process, which includes suspended time, not null
   */
  public SharedClock(MonotonicClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /**
   * Records a reading.
   *
   * @param sharedTime the shared time that was read, not null
   * @param sentNanos the time of the request on the clock of this process
   * @param receivedNanos the time of the response on the clock of this process
   */
  public synchronized void onRead(Duration sharedTime, long sentNanos, long receivedNanos) {
    long roundTrip = receivedNanos - sentNanos;
    long offset = sharedTime.toNanos() - (sentNanos + roundTrip / 2);
    boolean isEstimateWrong = Math.abs(offset - offsetNanos) > (roundTrip + roundTripNanos) / 2;
    if (roundTrip <= roundTripNanos || isEstimateWrong) {
      offsetNanos = offset;
      roundTripNanos = roundTrip;
    }
  }

  /**
   * Gets the estimated shared time. It may step back after a reading.
   *
   * @return nanoseconds since the origin of the shared time
   */
  public synchronized long nanoTime() {
    return clock.nanoTime() + offsetNanos;
  }
}
