package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a service whose targets receive requests from the entries.
 *
 * @param name the name, not null
 * @param healthPath the path at which targets answer health checks, empty for none, not null
 * @param maxConnections the number of connections that a target accepts from all entries together
 * @param engine the profile of the engines of a model service, empty for other services, not null
 * @param coldStart what targets bear shortly after their start, empty if they bear any rate, not
 *     null
 */
public record ServiceProfile(
    ServiceName name,
    Optional<String> healthPath,
    int maxConnections,
    Optional<EngineProfile> engine,
    Optional<ColdStartProfile> coldStart) {

  /** Validates the components. */
  public ServiceProfile {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(healthPath, "healthPath");
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(coldStart, "coldStart");
  }

  /**
   * Creates a profile of a service whose targets bear any rate after their start.
   *
   * @param name the name, not null
   * @param healthPath the path at which targets answer health checks, empty for none, not null
   * @param maxConnections the number of connections that a target accepts from all entries together
   * @param engine the profile of the engines, empty for a plain service, not null
   */
  public ServiceProfile(
      ServiceName name,
      Optional<String> healthPath,
      int maxConnections,
      Optional<EngineProfile> engine) {
    this(name, healthPath, maxConnections, engine, Optional.empty());
  }
}
