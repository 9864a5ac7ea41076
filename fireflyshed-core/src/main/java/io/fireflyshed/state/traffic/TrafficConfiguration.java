package io.fireflyshed.state.traffic;

import io.fireflyshed.state.replica.ServiceName;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds one accepted version of the traffic configuration. Immutable.
 *
 * @param version the version, which only grows
 * @param routes the routes, not null
 * @param services the services by name, not null
 * @param accounts the client accounts by their keys, not null
 * @param needsKey whether requests of routes that are not public need a key
 * @param limits the limits of callers, not null
 */
public record TrafficConfiguration(
    long version,
    RouteTable routes,
    Map<ServiceName, ServiceProfile> services,
    Map<String, ClientAccount> accounts,
    boolean needsKey,
    ClientLimits limits) {

  /** Checks and copies the parts of the record. */
  public TrafficConfiguration {
    Objects.requireNonNull(routes, "routes");
    Objects.requireNonNull(limits, "limits");
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /**
   * Finds the account that holds a key.
   *
   * @param key the key, not null
   * @return the account, or empty if no account holds the key
   */
  public Optional<ClientAccount> findAccount(String key) {
    return Optional.ofNullable(accounts.get(key));
  }
}
