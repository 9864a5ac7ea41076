package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Describes how targets of a service bear requests shortly after their start.
 *
 * @param duration the time for which a target is cold after it started, not null
 * @param requestsPerSecond the requests per second that a cold target takes from all entries
 *     together, positive
 */
public record ColdStartProfile(Duration duration, double requestsPerSecond) {

  /** Validates the components. */
  public ColdStartProfile {
    Objects.requireNonNull(duration, "duration");
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("the rate must be positive: " + requestsPerSecond);
    }
  }
}
