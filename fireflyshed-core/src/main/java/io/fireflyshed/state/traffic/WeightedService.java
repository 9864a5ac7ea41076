package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;

/**
 * Assigns a weight to one of the services of a route.
 *
 * @param service the service, not null
 * @param weight the share of requests relative to the other weights of the route, not negative
 */
public record WeightedService(ServiceName service, int weight) {

  /** Validates the components. */
  public WeightedService {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative: " + weight);
    }
  }
}
