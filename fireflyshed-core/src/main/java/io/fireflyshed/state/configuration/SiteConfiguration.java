package io.fireflyshed.state.configuration;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.Map;

/**
 * Holds the configuration of one site after its overlay was merged into the base. Immutable.
 *
 * @param services the model services by name, copied, not null
 * @param accounts the client accounts by name, copied, not null
 * @param drains the instances that must leave, with the reason, copied, not null
 * @param desks the kind of target of each plain service that takes one-time orders, copied, not
 *     null
 * @param fencing what each kind of target does with fencing numbers, copied, not null
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
   * Creates a configuration without services.
   *
   * @return the configuration, never null
   */
  public static SiteConfiguration ofNothing() {
    return new SiteConfiguration(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
  }
}
