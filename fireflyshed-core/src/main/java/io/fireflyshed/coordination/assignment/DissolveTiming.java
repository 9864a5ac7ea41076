package io.fireflyshed.coordination.assignment;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the durations that keep an instance out of two replicas.
 *
 * @param evidenceMaxAge the age at which any entry stops using evidence of health, not null
 * @param longestFlight the longest time between the write of a message and its arrival, not null
 * @param orderDeadline how long after its arrival an engine may still carry out an order, not null
 * @param drainTime how long a whole replica may finish its streams before its engines are told to
 *     stop, not null
 * @param goneTime how long an instance is missing from the platform's list before it counts as
 *     stopped, longer than the lag of the list, not null
 * @param maxDrift the largest difference between the rates of two clocks, as a fraction, 0 or more
 *     and below 1
 * @param isFencing whether engines refuse an order with an old fencing number
 */
public record DissolveTiming(
    Duration evidenceMaxAge,
    Duration longestFlight,
    Duration orderDeadline,
    Duration drainTime,
    Duration goneTime,
    double maxDrift,
    boolean isFencing) {

  /** Checks the parts of the record. */
  public DissolveTiming {
    Objects.requireNonNull(evidenceMaxAge, "evidenceMaxAge");
    Objects.requireNonNull(longestFlight, "longestFlight");
    Objects.requireNonNull(orderDeadline, "orderDeadline");
    Objects.requireNonNull(drainTime, "drainTime");
    Objects.requireNonNull(goneTime, "goneTime");
    if (!(maxDrift >= 0 && maxDrift < 1)) {
      throw new IllegalArgumentException("maxDrift must be in [0, 1): " + maxDrift);
    }
  }

  /**
   * Gets how long after a member has stopped an entry may still use the replica: the age of the
   * evidence, the flight of the last request, and the drift of clocks.
   *
   * @return the wait in nanoseconds
   */
  public long getGrantNanos() {
    return stretch(evidenceMaxAge.plus(longestFlight));
  }

  /**
   * Gets how long after its sending an order may still take effect at an engine.
   *
   * @return the wait in nanoseconds
   */
  public long getQuarantineNanos() {
    return stretch(longestFlight.plus(orderDeadline));
  }

  private long stretch(Duration wait) {
    return (long) Math.ceil(wait.toNanos() * (1 + maxDrift) / (1 - maxDrift));
  }
}
