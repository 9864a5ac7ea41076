package io.fireflyshed.coordination.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a {@link ConfigurationFollower}.
 *
 * @param leaseLength how long evidence proves that no newer version was accepted, positive, not
 *     null
 * @param startWait how long a new process waits for the answers of its peers before it takes the
 *     highest version that they hold, positive, not null
 */
public record FollowerSettings(Duration leaseLength, Duration startWait) {

  /** Checks the parts of the record. */
  public FollowerSettings {
    requirePositive("leaseLength", leaseLength);
    requirePositive("startWait", startWait);
  }

  /**
   * Creates the settings that keep the whole spread within six seconds.
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
