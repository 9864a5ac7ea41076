package io.fireflyshed.coordination.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits by which an entry detects that it reaches no target.
 *
 * @param minFailedTargets the number of distinct targets that must fail, or all listed ones if they
 *     are fewer, at least 1
 * @param failureWindow the time for which a failure counts, not null
 * @param minSilence the time without a sign of life from any target, not null; it keeps several
 *     targets that fail at the same moment from being mistaken for a partition while others respond
 * @param recheckTime the time for which the failed targets are still checked after another target
 *     accepted a connection, not null; no shorter than a target is left out after a failure
 */
public record ReachabilitySettings(
    int minFailedTargets, Duration failureWindow, Duration minSilence, Duration recheckTime) {

  /** Validates the components. */
  public ReachabilitySettings {
    if (minFailedTargets < 1) {
      throw new IllegalArgumentException(
          "minFailedTargets must be at least 1: " + minFailedTargets);
    }
    Objects.requireNonNull(failureWindow, "failureWindow");
    Objects.requireNonNull(minSilence, "minSilence");
    Objects.requireNonNull(recheckTime, "recheckTime");
  }

  /**
   * Creates the default settings.
   *
   * @return the settings, never null
   */
  public static ReachabilitySettings ofDefaults() {
    return new ReachabilitySettings(
        3, Duration.ofSeconds(5), Duration.ofMillis(300), Duration.ofSeconds(6));
  }
}
