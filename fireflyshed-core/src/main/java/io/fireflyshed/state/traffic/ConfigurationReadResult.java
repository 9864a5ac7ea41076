package io.fireflyshed.state.traffic;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the result of a read of a {@link TrafficConfigurationSource}.
 *
 * @param sourceVersion the version of the source up to which the result is complete
 * @param configuration the latest configuration, empty if there is none or it did not change, not
 *     null
 * @param evacuations the evacuated availability zones, not null
 */
public record ConfigurationReadResult(
    long sourceVersion,
    Optional<TrafficConfiguration> configuration,
    EvacuationChanges evacuations) {

  /** Validates the components. */
  public ConfigurationReadResult {
    Objects.requireNonNull(configuration, "configuration");
    Objects.requireNonNull(evacuations, "evacuations");
  }

  /**
   * Creates a result that shows no change of the evacuated zones.
   *
   * @param sourceVersion the version of the source up to which the result is complete
   * @param configuration the latest configuration, empty if it did not change, not null
   */
  public ConfigurationReadResult(long sourceVersion, Optional<TrafficConfiguration> configuration) {
    this(sourceVersion, configuration, EvacuationChanges.NONE);
  }
}
