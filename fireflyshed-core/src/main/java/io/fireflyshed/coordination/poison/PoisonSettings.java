package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a {@link PoisonList}.
 *
 * @param expiry how long a crash is remembered, not null
 * @param settleTime how long after a crash to wait for the notices of peers before a verdict, not
 *     null
 * @param outageWindow crashes that are at most this far apart may have a common cause, not null
 * @param outageReplicas the number of replicas that must crash within the window for their crashes
 *     to count as an outage, for which no request is blamed; at least 2
 * @param maxFingerprints the most fingerprints to remember, positive
 */
public record PoisonSettings(
    Duration expiry,
    Duration settleTime,
    Duration outageWindow,
    int outageReplicas,
    int maxFingerprints) {

  /** Checks the parts of the record. */
  public PoisonSettings {
    Objects.requireNonNull(expiry, "expiry");
    Objects.requireNonNull(settleTime, "settleTime");
    Objects.requireNonNull(outageWindow, "outageWindow");
    if (outageReplicas < 2 || maxFingerprints < 1) {
      throw new IllegalArgumentException("outageReplicas or maxFingerprints too small");
    }
  }

  /**
   * Creates the settings of an entry.
   *
   * @return the settings, never null
   */
  public static PoisonSettings ofDefaults() {
    return new PoisonSettings(
        Duration.ofMinutes(15), Duration.ofMillis(200), Duration.ofMillis(500), 3, 10_000);
  }
}
