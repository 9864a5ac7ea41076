package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the orders of one pass. An engine gets one order a pass at most, as both would name the
 * same order sequence and the engine would refuse the second. Not thread safe.
 */
final class OrderBatch {

  private final List<FormationOrder> orders = new ArrayList<>();
  private final Set<InstanceId> ordered = new HashSet<>();

  void add(FormationOrder order) {
    orders.add(order);
    ordered.add(order.target().id());
  }

  /** Tests whether an engine gets an order in this pass. */
  boolean isOrdered(InstanceId engine) {
    return ordered.contains(engine);
  }

  List<FormationOrder> getOrders() {
    return List.copyOf(orders);
  }
}
