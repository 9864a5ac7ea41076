package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a service behind the entries.
 *
 * @param name the name, not null
 * @param maxConnections the connections that a target accepts from all callers together
 * @param engine the engines of a model service, empty for a plain service, not null
 */
public record ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {

  /** Checks the parts of the record. */
  public ServiceProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(engine, "engine");
  }
}
