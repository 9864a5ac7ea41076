package io.fireflyshed.transport.forward;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a request that another entry offers, as far as it decides whether it can be placed.
 *
 * @param service the service, not null
 * @param model the model of a generation request, empty for other requests, not null
 */
public record RelayOffer(ServiceName service, Optional<String> model) {

  /** Validates the components. */
  public RelayOffer {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(model, "model");
  }

  /**
   * Creates the offer of a request.
   *
   * @param routed the request, not null
   * @return the offer, never null
   */
  public static RelayOffer of(RoutedRequest routed) {
    return new RelayOffer(routed.service(), routed.request().prompt().map(p -> p.model()));
  }

  /**
   * Gets the name of the pool of interchangeable targets that can run the request.
   *
   * @return the model of a generation request, otherwise the service, never null
   */
  public String getPool() {
    return model.orElse(service.value());
  }
}
