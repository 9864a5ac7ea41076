package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the orders of one planning pass. An engine gets at most one order per pass, since two
 * would name the same order sequence and the engine would reject the second. Not thread safe.
 */
final class OrderBatch {

  private final List<FormationOrder> orders = new ArrayList<>();
  private final Set<InstanceId> orderedEngines = new HashSet<>();

  void add(FormationOrder order) {
    orders.add(order);
    orderedEngines.add(order.target().id());
  }

  /** Tests whether the batch has an order for an engine. */
  boolean hasOrderFor(InstanceId engine) {
    return orderedEngines.contains(engine);
  }

  List<FormationOrder> getOrders() {
    return List.copyOf(orders);
  }
}
