package io.fireflyshed.state.clock;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Estimates a shared time from occasional readings of a {@link SharedTimeSource}, as described by
 * F. Cristian, "Probabilistic Clock Synchronization", 1989.
 *
 * <p>The error of a reading is at most half of its round trip. A reading with a longer round trip
 * than the current estimate's is ignored unless it shows that the estimate is wrong. Without any
 * reading the time has an arbitrary origin. Thread safe.
 */
public final class SharedClock {

  /** Takes the place of the round trip before the first reading; above that of any. */
  private static final long UNREAD_NANOS = Long.MAX_VALUE / 2;

  private final MonotonicClock clock;
  private long offsetNanos;

  /** The round trip of the reading in use. */
  private long roundTripNanos = UNREAD_NANOS;

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
   * Converts a reading of the clock of this process.
   *
   * @param nanos a reading of the clock of this process
   * @return the shared time of the reading, empty before the shared time was first read, never null
   */
  public synchronized Optional<Duration> toSharedTime(long nanos) {
    return isRead() ? Optional.of(Duration.ofNanos(nanos + offsetNanos)) : Optional.empty();
  }

  /**
   * Converts a shared time.
   *
   * @param sharedTime the shared time, not null
   * @return the reading of the clock of this process at that time, empty before the shared time was
   *     first read, never null
   */
  public synchronized OptionalLong toNanos(Duration sharedTime) {
    return isRead() ? OptionalLong.of(sharedTime.toNanos() - offsetNanos) : OptionalLong.empty();
  }

  private boolean isRead() {
    return roundTripNanos != UNREAD_NANOS;
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
