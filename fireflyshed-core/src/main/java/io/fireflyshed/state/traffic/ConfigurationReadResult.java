package io.fireflyshed.state.traffic;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the result of a read of a {@link TrafficConfigurationSource}.
 *
 * @param sourceVersion the version of the source up to which the result is complete
 * @param configuration the latest configuration, empty if there is none or it did not change, not
 *     null
 */
public record ConfigurationReadResult(
    long sourceVersion, Optional<TrafficConfiguration> configuration) {

  /** Validates the components. */
  public ConfigurationReadResult {
    Objects.requireNonNull(configuration, "configuration");
  }
}
