package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.Route;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds a request that may go to a target.
 *
 * @param request the descriptor, not null
 * @param body the whole body, not null
 * @param route the route, not null
 * @param service the service that the route chose, not null
 * @param account the client account, empty on public routes, not null
 * @param configurationVersion the version of the configuration that decided, for the log
 * @param arrivalNanos the reading of the monotonic clock at the arrival
 * @param limit the time from the arrival after which the request ends, not null
 */
public record ForwardRequest(
    TrafficRequest request,
    byte[] body,
    Route route,
    ServiceName service,
    Optional<String> account,
    long configurationVersion,
    long arrivalNanos,
    Duration limit) {

  /** Checks the parts of the record. */
  public ForwardRequest {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(limit, "limit");
  }

  /**
   * Gets the name of the targets that can replace each other for this request.
   *
   * @return the model of a generation, else the service, never null
   */
  public String getPool() {
    return request.prompt().map(p -> p.model()).orElse(service.value());
  }

  /**
   * Gets the time that is left.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the time, not positive if the limit has passed, never null
   */
  public Duration getLeft(long nowNanos) {
    return limit.minusNanos(nowNanos - arrivalNanos);
  }
}
