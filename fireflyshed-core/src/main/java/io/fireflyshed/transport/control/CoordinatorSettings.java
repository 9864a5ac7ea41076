package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.DissolveTiming;
import io.fireflyshed.coordination.health.HealthSettings;
import io.fireflyshed.coordination.lease.LeaseTiming;
import java.time.Duration;
import java.util.Objects;

/**
 * The settings of the zone coordinator.
 *
 * @param lease the durations of the coordinator's lease, not null
 * @param dissolve the durations that ensure that no instance is in use by two replicas, not null
 * @param health the thresholds that classify the health of instances, not null
 */
public record CoordinatorSettings(
    LeaseTiming lease, DissolveTiming dissolve, HealthSettings health) {

  private static final Duration LEASE_LENGTH = Duration.ofSeconds(10);
  private static final Duration RENEW_INTERVAL = Duration.ofSeconds(3);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);
  private static final Duration MAX_MESSAGE_DELAY = Duration.ofSeconds(2);
  private static final Duration ORDER_DEADLINE = Duration.ofSeconds(5);
  private static final Duration MISSING_TIMEOUT = Duration.ofSeconds(90);
  private static final double MAX_DRIFT = 0.01;

  /** Validates the components. */
  public CoordinatorSettings {
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(dissolve, "dissolve");
    Objects.requireNonNull(health, "health");
  }

  /**
   * Creates settings with the default durations and thresholds.
   *
   * @param evidenceMaxAge the age at which evidence of health becomes invalid, not null
   * @param drainTimeout how long a complete replica may take to finish its streams before its
   *     engines are ordered to unload, not null
   * @param isFencingEnforced whether engines reject an order with an outdated fencing token
   * @return the settings, never null
   */
  public static CoordinatorSettings of(
      Duration evidenceMaxAge, Duration drainTimeout, boolean isFencingEnforced) {
    return new CoordinatorSettings(
        new LeaseTiming(LEASE_LENGTH, RENEW_INTERVAL, POLL_INTERVAL, MAX_DRIFT),
        new DissolveTiming(
            evidenceMaxAge,
            MAX_MESSAGE_DELAY,
            ORDER_DEADLINE,
            drainTimeout,
            MISSING_TIMEOUT,
            MAX_DRIFT,
            isFencingEnforced),
        HealthSettings.ofDefaults());
  }
}
