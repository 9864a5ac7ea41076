package io.fireflyshed.coordination.health;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the bounds of suspicion.
 *
 * @param failAfter how long an instance gives no answer before it counts as failed, not null
 * @param slowAnswer the round trip above which an answer is late, not null
 * @param slowCount how many late answers in a row make an instance suspect, and how many timely
 *     ones clear it, positive
 * @param penaltyHalfLife the time in which the penalty of past failures halves, not null
 * @param suppressPenalty the penalty above which an instance is unstable, in failures
 * @param reusePenalty the penalty below which it is stable again, in failures, below the former
 */
public record HealthSettings(
    Duration failAfter,
    Duration slowAnswer,
    int slowCount,
    Duration penaltyHalfLife,
    double suppressPenalty,
    double reusePenalty) {

  /** Checks the parts of the record. */
  public HealthSettings {
    Objects.requireNonNull(failAfter, "failAfter");
    Objects.requireNonNull(slowAnswer, "slowAnswer");
    Objects.requireNonNull(penaltyHalfLife, "penaltyHalfLife");
    if (slowCount < 1) {
      throw new IllegalArgumentException("slowCount must be positive: " + slowCount);
    }
    if (!(reusePenalty > 0 && reusePenalty < suppressPenalty)) {
      throw new IllegalArgumentException("reusePenalty must be below suppressPenalty");
    }
  }

  /**
   * Creates the usual settings: failed after 15 s, late above 500 ms five times in a row, unstable
   * after three failures within minutes and for a quarter of an hour.
   *
   * @return the settings, never null
   */
  public static HealthSettings ofDefaults() {
    return new HealthSettings(
        Duration.ofSeconds(15), Duration.ofMillis(500), 5, Duration.ofMinutes(10), 2.5, 1);
  }
}
