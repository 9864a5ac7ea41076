package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes one suspected or refused request to an operator.
 *
 * @param fingerprint the fingerprint of the request, not null
 * @param verdict how it may be run, not null
 * @param crashes the number of crashes that it was running in, positive
 * @param left the time until it is forgotten, not null
 */
public record PoisonEntry(String fingerprint, PoisonVerdict verdict, int crashes, Duration left) {

  /** Checks the parts of the record. */
  public PoisonEntry {
    Objects.requireNonNull(fingerprint, "fingerprint");
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(left, "left");
  }
}
