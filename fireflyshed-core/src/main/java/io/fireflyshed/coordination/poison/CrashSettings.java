package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a {@link CrashLedger}.
 *
 * @param maxCrashes the number of crashes, at different times, after which a request, or a part of
 *     prompts, is refused, at least 2
 * @param maxCommonCrashes the number of crashes after which a part is refused that is about as
 *     common among the requests that ran as in the crashes, at least {@code maxCrashes}
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
 * @param maxCountedParts the maximum number of parts whose successes are counted, positive
 * @param trials when a request may run although it is refused, not null
 */
public record CrashSettings(
    int maxCrashes,
    int maxCommonCrashes,
    int maxAmbiguousCrashes,
    Duration outageWindow,
    Duration settleTime,
    Duration expiry,
    Duration successMemory,
    Duration clearanceTime,
    int maxFingerprints,
    int maxCountedParts,
    TrialSettings trials) {

  /** Validates the components. */
  public CrashSettings {
    Objects.requireNonNull(outageWindow, "outageWindow");
    Objects.requireNonNull(settleTime, "settleTime");
    Objects.requireNonNull(expiry, "expiry");
    Objects.requireNonNull(successMemory, "successMemory");
    Objects.requireNonNull(clearanceTime, "clearanceTime");
    Objects.requireNonNull(trials, "trials");
    boolean isOrdered = maxCrashes <= maxCommonCrashes && maxCrashes <= maxAmbiguousCrashes;
    if (maxCrashes < 2 || !isOrdered || maxFingerprints < 1 || maxCountedParts < 1) {
      throw new IllegalArgumentException(
          "maxCrashes must be at least 2, maxCommonCrashes and maxAmbiguousCrashes not below it,"
              + " and maxFingerprints and maxCountedParts positive; maxCrashes: "
              + maxCrashes
              + ", maxCommonCrashes: "
              + maxCommonCrashes
              + ", maxAmbiguousCrashes: "
              + maxAmbiguousCrashes
              + ", maxFingerprints: "
              + maxFingerprints
              + ", maxCountedParts: "
              + maxCountedParts);
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
        6,
        5,
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        Duration.ofMinutes(15),
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        10_000,
        2_000,
        TrialSettings.ofDefaults());
  }
}
