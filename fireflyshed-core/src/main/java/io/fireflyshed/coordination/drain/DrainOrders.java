package io.fireflyshed.coordination.drain;

import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import java.util.Set;

/**
 * The instances and fabric domains that operators drain.
 *
 * @param instances the instances, copied, not null
 * @param domains the fabric domains of which all instances drain, copied, not null
 */
public record DrainOrders(Set<InstanceId> instances, Set<FabricDomain> domains) {

  /** Copies the sets. */
  public DrainOrders {
    instances = Set.copyOf(instances);
    domains = Set.copyOf(domains);
  }

  /**
   * Returns orders that drain nothing.
   *
   * @return the orders, never null
   */
  public static DrainOrders ofNothing() {
    return new DrainOrders(Set.of(), Set.of());
  }

  /**
   * Tests whether an operator drains an instance.
   *
   * @param instance the instance, not null
   * @return true if the instance or its fabric domain is listed
   */
  public boolean isDrained(InstanceRecord instance) {
    return instances.contains(instance.id()) || domains.contains(instance.domain());
  }
}
