package io.fireflyshed.coordination.drain;

import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import java.util.Set;

/**
 * Holds what the operators drain by hand.
 *
 * @param instances the instances, copied, not null
 * @param domains the fabric domains whose instances all leave, copied, not null
 */
public record DrainOrders(Set<InstanceId> instances, Set<FabricDomain> domains) {

  /** Copies the sets. */
  public DrainOrders {
    instances = Set.copyOf(instances);
    domains = Set.copyOf(domains);
  }

  /**
   * Creates orders that drain nothing.
   *
   * @return the orders, never null
   */
  public static DrainOrders ofNothing() {
    return new DrainOrders(Set.of(), Set.of());
  }

  /**
   * Tests whether an instance is drained.
   *
   * @param instance the instance, not null
   * @return true if it or its fabric domain is named
   */
  public boolean isDrained(InstanceRecord instance) {
    return instances.contains(instance.id()) || domains.contains(instance.domain());
  }
}
