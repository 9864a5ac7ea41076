package io.fireflyshed.coordination.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * The rate at which all entries together use a target in turns.
 *
 * @param requestsPerSecond the turns in a second, not negative
 * @param lifetime the time for which an unused turn can still be used, not null
 */
public record TurnRate(double requestsPerSecond, Duration lifetime) {

  /** Validates the components. */
  public TurnRate {
    Objects.requireNonNull(lifetime, "lifetime");
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException("negative rate: " + requestsPerSecond);
    }
  }

  /** Returns the rate that keeps this one and another one. */
  TurnRate restrict(TurnRate other) {
    return new TurnRate(
        Math.min(requestsPerSecond, other.requestsPerSecond),
        lifetime.compareTo(other.lifetime) < 0 ? lifetime : other.lifetime);
  }
}
