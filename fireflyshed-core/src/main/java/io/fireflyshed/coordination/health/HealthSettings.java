package io.fireflyshed.coordination.health;

import java.time.Duration;
import java.util.Objects;

/**
 * The thresholds of {@link HealthTracker}.
 *
 * @param failureTimeout how long an instance may give no answer before it counts as failed, not
 *     null
 * @param slowThreshold the round-trip time above which an answer is slow, not null
 * @param slowCount the number of consecutive slow answers that make an instance suspect, and of
 *     consecutive timely answers that clear it, 1 or more
 * @param penaltyHalfLife the time in which the penalty of past failures decays by half, not null
 * @param suppressPenalty the penalty above which an instance is unstable, in failures
 * @param reusePenalty the penalty below which an unstable instance is stable again, in failures,
 *     positive and below {@code suppressPenalty}
 */
public record HealthSettings(
    Duration failureTimeout,
    Duration slowThreshold,
    int slowCount,
    Duration penaltyHalfLife,
    double suppressPenalty,
    double reusePenalty) {

  /** Validates the components. */
  public HealthSettings {
    Objects.requireNonNull(failureTimeout, "failureTimeout");
    Objects.requireNonNull(slowThreshold, "slowThreshold");
    Objects.requireNonNull(penaltyHalfLife, "penaltyHalfLife");
    if (slowCount < 1) {
      throw new IllegalArgumentException("slowCount must be positive: " + slowCount);
    }
    if (!(reusePenalty > 0 && reusePenalty < suppressPenalty)) {
      throw new IllegalArgumentException("reusePenalty must be positive and below suppressPenalty");
    }
  }

  /**
   * Returns the default settings: failed after 15 s, suspect after five consecutive round trips
   * above 500 ms, unstable after three failures within minutes and then for about a quarter of an
   * hour.
   *
   * @return the settings, never null
   */
  public static HealthSettings ofDefaults() {
    return new HealthSettings(
        Duration.ofSeconds(15), Duration.ofMillis(500), 5, Duration.ofMinutes(10), 2.5, 1);
  }
}
