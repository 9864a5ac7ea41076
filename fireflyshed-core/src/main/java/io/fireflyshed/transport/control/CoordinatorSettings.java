package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.DissolveTiming;
import io.fireflyshed.coordination.health.HealthSettings;
import io.fireflyshed.coordination.lease.LeaseTiming;
import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of the zone coordinator.
 *
 * @param lease the durations of its lease, not null
 * @param dissolve the durations that keep an instance out of two replicas, not null
 * @param health the bounds of suspicion, not null
 */
public record CoordinatorSettings(
    LeaseTiming lease, DissolveTiming dissolve, HealthSettings health) {

  private static final Duration LEASE_LENGTH = Duration.ofSeconds(10);
  private static final Duration RENEW_INTERVAL = Duration.ofSeconds(3);
  private static final Duration WATCH_INTERVAL = Duration.ofSeconds(5);
  private static final Duration LONGEST_FLIGHT = Duration.ofSeconds(2);
  private static final Duration ORDER_DEADLINE = Duration.ofSeconds(5);
  private static final Duration GONE_TIME = Duration.ofSeconds(90);
  private static final double MAX_DRIFT = 0.01;

  /** Checks the parts of the record. */
  public CoordinatorSettings {
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(dissolve, "dissolve");
    Objects.requireNonNull(health, "health");
  }

  /**
   * Creates the usual settings.
   *
   * @param evidenceMaxAge the age at which evidence of health becomes invalid, not null
   * @param drainTime how long a whole replica may finish its streams, not null
   * @param isFencing whether engines refuse an order with an old fencing number
   * @return the settings, never null
   */
  public static CoordinatorSettings of(
      Duration evidenceMaxAge, Duration drainTime, boolean isFencing) {
    return new CoordinatorSettings(
        new LeaseTiming(LEASE_LENGTH, RENEW_INTERVAL, WATCH_INTERVAL, MAX_DRIFT),
        new DissolveTiming(
            evidenceMaxAge,
            LONGEST_FLIGHT,
            ORDER_DEADLINE,
            drainTime,
            GONE_TIME,
            MAX_DRIFT,
            isFencing),
        HealthSettings.ofDefaults());
  }
}
