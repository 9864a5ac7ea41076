package io.fireflyshed.coordination.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the durations of a lease.
 *
 * @param length how long a renewal lasts, counted by the holder from before it sent it, positive,
 *     not null
 * @param renewInterval the time between two renewals of the holder, shorter than the length, not
 *     null
 * @param watchInterval the time between two reads of a process that is not the holder, positive,
 *     not null
 * @param maxDrift the largest difference between the rates of two clocks, as a fraction, 0 or more
 *     and below 1
 */
public record LeaseTiming(
    Duration length, Duration renewInterval, Duration watchInterval, double maxDrift) {

  /** Checks the parts of the record. */
  public LeaseTiming {
    requirePositive("length", length);
    requirePositive("renewInterval", renewInterval);
    requirePositive("watchInterval", watchInterval);
    if (renewInterval.compareTo(length) >= 0) {
      throw new IllegalArgumentException("renewInterval must be below length: " + renewInterval);
    }
    if (!(maxDrift >= 0 && maxDrift < 1)) {
      throw new IllegalArgumentException("maxDrift must be in [0, 1): " + maxDrift);
    }
  }

  /**
   * Gets how long a process that is not the holder waits after it saw the last renewal.
   *
   * @return the wait in nanoseconds, longer than the lease even if this clock runs fast
   */
  public long getWatchNanos() {
    return (long) Math.ceil(length.toNanos() * (1 + maxDrift) / (1 - maxDrift));
  }

  private static void requirePositive(String name, Duration value) {
    Objects.requireNonNull(value, name);
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
