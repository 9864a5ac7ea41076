package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds an accepted version of the traffic configuration. Immutable.
 *
 * @param version the version, which increases with each change
 * @param routes the routes, not null
 * @param services the services by name, copied, not null
 * @param accounts the client accounts by API key, copied, not null
 * @param isKeyRequired whether requests of routes that are not public need an API key
 * @param limits the limits of callers' requests, not null
 * @param ranks the services whose requests differ in their ranks, not null
 */
public record TrafficConfiguration(
    long version,
    RouteTable routes,
    Map<ServiceName, ServiceProfile> services,
    Map<String, ClientAccount> accounts,
    boolean isKeyRequired,
    ClientLimits limits,
    ServiceRanks ranks) {

  /** Validates the components and copies the maps. */
  public TrafficConfiguration {
    Objects.requireNonNull(routes, "routes");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(ranks, "ranks");
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /**
   * Creates a configuration, whose ranks follow from its routes and accounts.
   *
   * @param version the version, which increases with each change
   * @param routes the routes, not null
   * @param services the services by name, copied, not null
   * @param accounts the client accounts by API key, copied, not null
   * @param isKeyRequired whether requests of routes that are not public need an API key
   * @param limits the limits of callers' requests, not null
   */
  public TrafficConfiguration(
      long version,
      RouteTable routes,
      Map<ServiceName, ServiceProfile> services,
      Map<String, ClientAccount> accounts,
      boolean isKeyRequired,
      ClientLimits limits) {
    this(
        version,
        routes,
        services,
        accounts,
        isKeyRequired,
        limits,
        ServiceRanks.of(routes.getAll(), accounts.values(), isKeyRequired));
  }

  /**
   * Finds the client account that an API key belongs to.
   *
   * @param key the key, not null
   * @return the account, empty if the key is unknown, never null
   */
  public Optional<ClientAccount> findAccount(String key) {
    return Optional.ofNullable(accounts.get(key));
  }
}
