package io.fireflyshed.coordination.poison;

import java.time.Duration;
import java.util.Objects;

/**
 * Determines when a single request may run although it is refused, to find out whether the refusal
 * is wrong.
 *
 * @param maxTrials the number of trials of one refusal at all entries together, 0 or more
 * @param firstDelay the time from the refusal to the first trial, not null
 * @param interval the time from one trial to the next, not null
 * @param resultTime the time in which a trial usually has a result, which callers wait for, not
 *     null
 */
public record TrialSettings(
    int maxTrials, Duration firstDelay, Duration interval, Duration resultTime) {

  /** Validates the components. */
  public TrialSettings {
    Objects.requireNonNull(firstDelay, "firstDelay");
    Objects.requireNonNull(interval, "interval");
    Objects.requireNonNull(resultTime, "resultTime");
    if (maxTrials < 0) {
      throw new IllegalArgumentException("maxTrials must not be negative: " + maxTrials);
    }
  }

  /**
   * Creates the default settings. What is refused rightly crashes a target in each trial, so there
   * are few.
   *
   * @return the settings, never null
   */
  public static TrialSettings ofDefaults() {
    return new TrialSettings(
        2, Duration.ofSeconds(5), Duration.ofSeconds(30), Duration.ofSeconds(1));
  }
}
