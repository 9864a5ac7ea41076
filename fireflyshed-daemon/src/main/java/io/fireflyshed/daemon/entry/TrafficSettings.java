package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.limits.LimitSettings;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Holds the settings of limits and routing.
 *
 * @param limits the limits of client accounts and the queue, not null
 * @param replicaConcurrency how many requests all entries together run on one replica, 1 or more
 * @param zoneCost the time by which another availability zone is farther away, not null
 * @param loadPolls the most replicas that are asked for their load in a second, 1 or more
 */
public record TrafficSettings(
    LimitSettings limits, int replicaConcurrency, Duration zoneCost, int loadPolls) {

  /** Checks the parts of the record. */
  public TrafficSettings {
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(zoneCost, "zoneCost");
    if (replicaConcurrency < 1) {
      throw new IllegalArgumentException(
          "replicaConcurrency must be positive: " + replicaConcurrency);
    }
    if (loadPolls < 1) {
      throw new IllegalArgumentException("loadPolls must be positive: " + loadPolls);
    }
  }

  /**
   * Creates the settings of a process without limits and without peers.
   *
   * @return the settings, never null
   */
  public static TrafficSettings ofDefaults() {
    LimitSettings limits =
        LimitSettings.of(
            List.of(),
            1,
            Duration.ofSeconds(3),
            Duration.ofMinutes(10),
            Duration.ofSeconds(10),
            2_000);
    return new TrafficSettings(limits, 64, Duration.ofMillis(2), 20);
  }
}
