package io.fireflyshed.coordination.assignment;

import java.time.Duration;
import java.util.Objects;

/**
 * The durations that ensure that an instance is never in use by two replicas.
 *
 * @param evidenceMaxAge the age at which every entry stops using evidence of health, not null
 * @param maxMessageDelay the longest time between the sending of a message and its arrival, not
 *     null
 * @param orderDeadline how long after the arrival of an order an engine may still carry it out, not
 *     null
 * @param drainTimeout how long a complete replica may take to finish its streams before its engines
 *     are ordered to unload, not null
 * @param goneTime how long an instance must be missing from the platform's list before it counts as
 *     stopped, longer than the lag of the list, not null
 * @param maxDrift the largest difference between the rates of two clocks, as a fraction, at least 0
 *     and below 1
 * @param isFencingEnforced whether engines reject an order with an outdated fencing token
 */
public record DissolveTiming(
    Duration evidenceMaxAge,
    Duration maxMessageDelay,
    Duration orderDeadline,
    Duration drainTimeout,
    Duration goneTime,
    double maxDrift,
    boolean isFencingEnforced) {

  /** Validates the components. */
  public DissolveTiming {
    Objects.requireNonNull(evidenceMaxAge, "evidenceMaxAge");
    Objects.requireNonNull(maxMessageDelay, "maxMessageDelay");
    Objects.requireNonNull(orderDeadline, "orderDeadline");
    Objects.requireNonNull(drainTimeout, "drainTimeout");
    Objects.requireNonNull(goneTime, "goneTime");
    if (!(maxDrift >= 0 && maxDrift < 1)) {
      throw new IllegalArgumentException("maxDrift must be in [0, 1): " + maxDrift);
    }
  }

  /**
   * Returns how long after a member has stopped an entry may still use the replica: the maximum age
   * of evidence plus the delay of the last request, extended for clock drift.
   *
   * @return the duration in nanoseconds
   */
  public long getUseAfterStopNanos() {
    return addClockDrift(evidenceMaxAge.plus(maxMessageDelay));
  }

  /**
   * Returns how long after its sending an order may still take effect at an engine, extended for
   * clock drift.
   *
   * @return the duration in nanoseconds
   */
  public long getQuarantineNanos() {
    return addClockDrift(maxMessageDelay.plus(orderDeadline));
  }

  private long addClockDrift(Duration duration) {
    return (long) Math.ceil(duration.toNanos() * (1 + maxDrift) / (1 - maxDrift));
  }
}
