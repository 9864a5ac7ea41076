package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;

/**
 * Gives a service a part of the requests of a route.
 *
 * @param service the service, not null
 * @param weight the part relative to the other weights of the route, not negative
 */
public record ServiceShare(ServiceName service, int weight) {

  /** Checks the parts of the record. */
  public ServiceShare {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative: " + weight);
    }
  }
}
