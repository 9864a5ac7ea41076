package io.fireflyshed.transport.forward;

import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.traffic.ClientAccount;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Routes and authorizes requests by the traffic configuration. Thread safe.
 *
 * <p>API keys are accepted only while the configuration is known to be recent enough: an entry that
 * can't read the configuration must stop accepting a revoked key in time, too.
 */
public final class RequestGate {

  /** The retry delay of requests that arrive while no recent configuration is known. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /** Represents the decision on a request. */
  public sealed interface Decision {

    /**
     * Allows the request.
     *
     * @param route the matching route, not null
     * @param account the client account, empty on public routes, not null
     * @param version the version of the traffic configuration that was applied
     */
    record Allow(Route route, Optional<ClientAccount> account, long version) implements Decision {}

    /**
     * Denies the request; a gate does so before any target has run it.
     *
     * @param status the HTTP status
     * @param reason the reason, which is sent to the caller, not null
     * @param retryAfter the delay after which the caller may retry, empty if a retry can't succeed,
     *     not null
     */
    record Deny(int status, String reason, Optional<Duration> retryAfter) implements Decision {}
  }

  private final Supplier<Optional<TrafficConfiguration>> configurationSupplier;
  private final Supplier<Duration> ageSupplier;
  private final Duration maxKeyAge;

  /**
   * Creates a gate.
   *
   * @param configurationSupplier gets the latest known configuration, not null
   * @param ageSupplier gets the time since that configuration was last known to be the latest, not
   *     null
   * @param maxKeyAge the age of the configuration up to which keys are accepted, not null
   */
  public RequestGate(
      Supplier<Optional<TrafficConfiguration>> configurationSupplier,
      Supplier<Duration> ageSupplier,
      Duration maxKeyAge) {
    this.configurationSupplier =
        Objects.requireNonNull(configurationSupplier, "configurationSupplier");
    this.ageSupplier = Objects.requireNonNull(ageSupplier, "ageSupplier");
    this.maxKeyAge = Objects.requireNonNull(maxKeyAge, "maxKeyAge");
  }

  /**
   * Finds the route of a request and checks its API key if the route requires one.
   *
   * @param request the request, not null
   * @return the decision, never null
   */
  public Decision authorize(TrafficRequest request) {
    Optional<TrafficConfiguration> latest = configurationSupplier.get();
    if (latest.isEmpty()) {
      return newUnavailable("no traffic configuration has been read yet");
    }
    TrafficConfiguration configuration = latest.get();
    Optional<Route> route = configuration.routes().find(request.host(), request.getPath());
    if (route.isEmpty()) {
      return new Decision.Deny(NOT_FOUND, "no route matches the request", Optional.empty());
    }
    if (route.get().isPublic() || !configuration.isKeyRequired()) {
      return new Decision.Allow(route.get(), Optional.empty(), configuration.version());
    }
    if (ageSupplier.get().compareTo(maxKeyAge) > 0) {
      return newUnavailable("the traffic configuration is too old to verify API keys");
    }
    Optional<ClientAccount> account = request.key().flatMap(configuration::findAccount);
    if (account.isEmpty()) {
      return new Decision.Deny(UNAUTHORIZED, "the API key is missing or unknown", Optional.empty());
    }
    return new Decision.Allow(route.get(), account, configuration.version());
  }

  private static Decision newUnavailable(String reason) {
    return new Decision.Deny(UNAVAILABLE, reason, Optional.of(RETRY_AFTER));
  }
}
