package io.fireflyshed.protocol.poison;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes the refusal of a fingerprint to all entries.
 *
 * @param source what identifies the entry that wrote it, for the log, not null
 * @param crashes the number of crashes that the entry knew of, 0 if unknown
 * @param refusedTime when the refusal began, as the time that all entries share, empty if unknown,
 *     not null
 * @param trials the number of trials that were begun, 0 or more
 * @param trialTime when the last trial was begun, as the time that all entries share, empty if
 *     there was none or it is unknown, not null
 */
public record RefusalRow(
    String source,
    int crashes,
    Optional<Duration> refusedTime,
    int trials,
    Optional<Duration> trialTime) {

  /** Validates the components. */
  public RefusalRow {
    Objects.requireNonNull(source, "source");
    Objects.requireNonNull(refusedTime, "refusedTime");
    Objects.requireNonNull(trialTime, "trialTime");
    if (crashes < 0 || trials < 0) {
      throw new IllegalArgumentException(
          "crashes and trials must not be negative; crashes: " + crashes + ", trials: " + trials);
    }
  }
}
