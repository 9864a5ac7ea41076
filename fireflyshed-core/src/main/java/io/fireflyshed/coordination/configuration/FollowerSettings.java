package io.fireflyshed.coordination.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a {@link ConfigurationFollower}.
 *
 * @param leaseLength how long evidence counts as proof that no newer version was accepted,
 *     positive, not null
 * @param startTimeout how long a new process waits for the answers of its peers before it uses the
 *     highest version that it has learned of, positive, not null
 */
public record FollowerSettings(Duration leaseLength, Duration startTimeout) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a duration is not positive
   */
  public FollowerSettings {
    requirePositive("leaseLength", leaseLength);
    requirePositive("startTimeout", startTimeout);
  }

  /**
   * Returns the default settings, with which an accepted version is in force in all processes
   * within six seconds.
   *
   * @return the settings, never null
   */
  public static FollowerSettings ofDefaults() {
    return new FollowerSettings(Duration.ofSeconds(3), Duration.ofSeconds(1));
  }

  private static void requirePositive(String name, Duration value) {
    Objects.requireNonNull(value, name);
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
