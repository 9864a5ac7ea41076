package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;
import java.util.Set;

/**
 * Describes the properties of a request that affect routing.
 *
 * @param service the model service, not null
 * @param prompt the text whose prefix may be cached, not null
 * @param excluded the replicas that must not be chosen, copied, not null
 */
public record RouteRequest(ServiceName service, String prompt, Set<ReplicaId> excluded) {

  /** Validates the components and copies the set. */
  public RouteRequest {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(prompt, "prompt");
    excluded = Set.copyOf(excluded);
  }
}
