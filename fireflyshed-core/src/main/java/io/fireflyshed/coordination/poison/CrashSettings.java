package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a {@link CrashLedger}.
 *
 * @param maxCrashes the number of crashes, at different times, after which a request, or a part of
 *     prompts, is refused, at least 2
 * @param maxAmbiguousCrashes the number of crashes after which parts are refused even if others
 *     were present in the same crashes, at least {@code maxCrashes}
 * @param outageWindow the time from a crash in which others may have the same cause, not null
 * @param settleTime the time for which the refusal of a part waits for reports that clear it, not
 *     null
 * @param expiry the time for which crashes and refusals are remembered, not null
 * @param successMemory the time for which a successful attempt is evidence against a crash that is
 *     reported later, not null
 * @param clearanceTime the time for which a success, once used, clears again when more reports
 *     arrive on crashes that happened before, not null
 * @param maxFingerprints the maximum number of suspected fingerprints and of remembered successes,
 *     positive
 */
public record CrashSettings(
    int maxCrashes,
    int maxAmbiguousCrashes,
    Duration outageWindow,
    Duration settleTime,
    Duration expiry,
    Duration successMemory,
    Duration clearanceTime,
    int maxFingerprints) {

  /** Validates the components. */
  public CrashSettings {
    Objects.requireNonNull(outageWindow, "outageWindow");
    Objects.requireNonNull(settleTime, "settleTime");
    Objects.requireNonNull(expiry, "expiry");
    Objects.requireNonNull(successMemory, "successMemory");
    Objects.requireNonNull(clearanceTime, "clearanceTime");
    if (maxCrashes < 2 || maxAmbiguousCrashes < maxCrashes || maxFingerprints < 1) {
      throw new IllegalArgumentException(
          "maxCrashes must be at least 2, maxAmbiguousCrashes not below it and maxFingerprints"
              + " positive; maxCrashes: "
              + maxCrashes
              + ", maxAmbiguousCrashes: "
              + maxAmbiguousCrashes
              + ", maxFingerprints: "
              + maxFingerprints);
    }
  }

  /**
   * Creates the default settings.
   *
   * @return the settings, never null
   */
  public static CrashSettings ofDefaults() {
    return new CrashSettings(
        3,
        5,
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        Duration.ofMinutes(15),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        10_000);
  }
}
