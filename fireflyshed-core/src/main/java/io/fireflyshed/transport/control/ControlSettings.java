package io.fireflyshed.transport.control;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ModelServiceSpec;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The settings of the control thread.
 *
 * @param zone the availability zone of this process, not null
 * @param services the model services that the zone is to run, copied, not null
 * @param probeInterval the time between two probes of an instance, positive, not null
 * @param evidenceMaxAge the age at which evidence of health becomes invalid, positive, not null
 * @param refreshInterval the time between two reads of the instance list, and of the assignments,
 *     positive, not null
 * @param coordinator the settings of the zone coordinator, not null
 */
public record ControlSettings(
    AvailabilityZone zone,
    List<ModelServiceSpec> services,
    Duration probeInterval,
    Duration evidenceMaxAge,
    Duration refreshInterval,
    CoordinatorSettings coordinator) {

  private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);

  /** Validates the components and copies the list. */
  public ControlSettings {
    Objects.requireNonNull(zone, "zone");
    services = List.copyOf(services);
    requirePositive("probeInterval", probeInterval);
    requirePositive("evidenceMaxAge", evidenceMaxAge);
    requirePositive("refreshInterval", refreshInterval);
    Objects.requireNonNull(coordinator, "coordinator");
  }

  /**
   * Creates settings with the default settings of the zone coordinator.
   *
   * @param zone the availability zone of this process, not null
   * @param services the model services that the zone is to run, copied, not null
   * @param probeInterval the time between two probes of an instance, positive, not null
   * @param evidenceMaxAge the age at which evidence of health becomes invalid, positive, not null
   * @param refreshInterval the time between two reads of the instance list, and of the assignments,
   *     positive, not null
   */
  public ControlSettings(
      AvailabilityZone zone,
      List<ModelServiceSpec> services,
      Duration probeInterval,
      Duration evidenceMaxAge,
      Duration refreshInterval) {
    this(
        zone,
        services,
        probeInterval,
        evidenceMaxAge,
        refreshInterval,
        CoordinatorSettings.of(evidenceMaxAge, DEFAULT_DRAIN_TIMEOUT, false));
  }

  private static void requirePositive(String name, Duration value) {
    Objects.requireNonNull(value, name);
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
