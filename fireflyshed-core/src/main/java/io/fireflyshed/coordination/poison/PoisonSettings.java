package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a {@link PoisonList}.
 *
 * @param expiry how long a crash is remembered, not null
 * @param settleTime how long after a crash a verdict is delayed to wait for the notices of peers,
 *     not null
 * @param outageWindow the maximum time between two crashes that may have a common cause, not null
 * @param outageReplicas the number of replicas that must crash within the window for their crashes
 *     to count as an outage, for which no request is blamed; at least 2
 * @param maxFingerprints the maximum number of fingerprints to remember, positive
 */
public record PoisonSettings(
    Duration expiry,
    Duration settleTime,
    Duration outageWindow,
    int outageReplicas,
    int maxFingerprints) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if outageReplicas or maxFingerprints is below its minimum
   */
  public PoisonSettings {
    Objects.requireNonNull(expiry, "expiry");
    Objects.requireNonNull(settleTime, "settleTime");
    Objects.requireNonNull(outageWindow, "outageWindow");
    if (outageReplicas < 2 || maxFingerprints < 1) {
      throw new IllegalArgumentException(
          "outageReplicas must be at least 2 and maxFingerprints must be positive");
    }
  }

  /**
   * Returns the default settings of an entry.
   *
   * @return the settings, never null
   */
  public static PoisonSettings ofDefaults() {
    return new PoisonSettings(
        Duration.ofMinutes(15), Duration.ofMillis(200), Duration.ofMillis(500), 3, 10_000);
  }
}
