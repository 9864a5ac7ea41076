package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes a suspected or refused request to an operator.
 *
 * @param fingerprint the fingerprint of the request, not null
 * @param verdict whether and where the request may run, not null
 * @param crashes the number of crashes during which the request was running, positive
 * @param timeToExpiry the time until the request is forgotten, not null
 */
public record PoisonEntry(
    String fingerprint, PoisonVerdict verdict, int crashes, Duration timeToExpiry) {

  /** Validates the components. */
  public PoisonEntry {
    Objects.requireNonNull(fingerprint, "fingerprint");
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(timeToExpiry, "timeToExpiry");
  }
}
