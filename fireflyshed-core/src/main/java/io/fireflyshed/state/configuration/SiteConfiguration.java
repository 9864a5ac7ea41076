package io.fireflyshed.state.configuration;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.Map;

/**
 * The configuration of one site, with the overlay of the site merged into the base. Immutable.
 *
 * @param services the model services by name, copied, not null
 * @param accounts the client accounts by name, copied, not null
 * @param drains the instances to drain, each with the reason, copied, not null
 * @param desks the kind of target of each plain service that takes one-time orders, copied, not
 *     null
 * @param fencing whether each kind of target enforces fencing tokens, copied, not null
 */
public record SiteConfiguration(
    Map<ServiceName, ServiceConfiguration> services,
    Map<String, AccountConfiguration> accounts,
    Map<InstanceId, String> drains,
    Map<ServiceName, String> desks,
    Map<String, FencingSupport> fencing) {

  /** Copies the maps. */
  public SiteConfiguration {
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
    drains = Map.copyOf(drains);
    desks = Map.copyOf(desks);
    fencing = Map.copyOf(fencing);
  }

  /**
   * Creates an empty configuration.
   *
   * @return the configuration, never null
   */
  public static SiteConfiguration ofNothing() {
    return new SiteConfiguration(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }
}
