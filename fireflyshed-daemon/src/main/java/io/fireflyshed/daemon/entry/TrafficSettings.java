package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.limits.LimitSettings;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The settings of limits and routing.
 *
 * @param limits the limits of client accounts and the request queue, not null
 * @param replicaConcurrency the maximum number of concurrent requests on a replica over all entry
 *     processes, 1 or more
 * @param zoneCost the additional latency to a replica in another availability zone, not null
 * @param loadPollsPerSecond the maximum number of replicas polled for their load per second, 1 or
 *     more
 */
public record TrafficSettings(
    LimitSettings limits, int replicaConcurrency, Duration zoneCost, int loadPollsPerSecond) {

  /** Validates the components. */
  public TrafficSettings {
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(zoneCost, "zoneCost");
    if (replicaConcurrency < 1) {
      throw new IllegalArgumentException(
          "replicaConcurrency must be positive: " + replicaConcurrency);
    }
    if (loadPollsPerSecond < 1) {
      throw new IllegalArgumentException(
          "loadPollsPerSecond must be positive: " + loadPollsPerSecond);
    }
  }

  /**
   * Returns the settings of a single entry process whose client accounts have no limits.
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
