package io.fireflyshed.coordination.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * The durations of a lease.
 *
 * @param length how long the lease is valid after a renewal, counted by the holder from before it
 *     sent the renewal, positive, not null
 * @param renewInterval the time between two renewals by the holder, positive, shorter than the
 *     length, not null
 * @param pollInterval the maximum time between two reads by a process that is not the holder,
 *     positive, not null
 * @param maxDrift the maximum difference between the rates of two clocks, as a fraction, 0 or more
 *     and below 1
 */
public record LeaseTiming(
    Duration length, Duration renewInterval, Duration pollInterval, double maxDrift) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a component is out of its range
   */
  public LeaseTiming {
    requirePositive("length", length);
    requirePositive("renewInterval", renewInterval);
    requirePositive("pollInterval", pollInterval);
    if (renewInterval.compareTo(length) >= 0) {
      throw new IllegalArgumentException("renewInterval must be below length: " + renewInterval);
    }
    if (!(maxDrift >= 0 && maxDrift < 1)) {
      throw new IllegalArgumentException("maxDrift must be in [0, 1): " + maxDrift);
    }
  }

  /**
   * Returns how long a process that is not the holder waits after it first saw the latest renewal
   * before it takes over.
   *
   * @return the delay in nanoseconds, longer than the lease even if the clock of the waiting
   *     process runs fast
   */
  public long getTakeoverDelayNanos() {
    return (long) Math.ceil(length.toNanos() * (1 + maxDrift) / (1 - maxDrift));
  }

  private static void requirePositive(String name, Duration value) {
    Objects.requireNonNull(value, name);
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
