package io.fireflyshed.state.traffic;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds what a reading of the configuration's source found.
 *
 * @param sourceVersion the version of the source up to which the reading is complete
 * @param configuration the newest configuration, empty if none was found or changed, not null
 */
public record ConfigurationReading(
    long sourceVersion, Optional<TrafficConfiguration> configuration) {

  /** Checks the parts of the record. */
  public ConfigurationReading {
    Objects.requireNonNull(configuration, "configuration");
  }
}
