package io.fireflyshed.coordination.repair;

import java.util.List;
import java.util.TreeSet;

/**
 * Orders loads under the rate limit of the weight store: replicas are completed one after another,
 * the one with the least remaining work first. Not thread safe.
 *
 * <p>On a single server, serving the shortest remaining work first minimizes the total waiting time
 * (Smith, "Various optimizers for single-stage production", 1956).
 */
final class LoadQueue {

  private final int slots;
  private final TreeSet<TrackedReplica> waiting =
      new TreeSet<>(TrackedReplica.LEAST_REMAINING_FIRST);
  private int activeLoads;

  LoadQueue(int slots) {
    this.slots = slots;
  }

  /**
   * Updates the position of a replica in the queue. Must be called after every change of the
   * replica.
   */
  void update(TrackedReplica replica) {
    waiting.remove(replica);
    replica.updateSortKey();
    if (replica.findLoadableMember() != null) {
      waiting.add(replica);
    }
  }

  void remove(TrackedReplica replica) {
    waiting.remove(replica);
  }

  /** Frees the load slot of an instance, whether or not its load has finished. */
  void endLoad(TrackedInstance instance) {
    if (instance.isLoading) {
      instance.isLoading = false;
      activeLoads--;
    }
  }

  void startLoads(List<RepairAction> actions) {
    while (activeLoads < slots && !waiting.isEmpty()) {
      TrackedReplica replica = waiting.first();
      TrackedInstance member = replica.findLoadableMember();
      member.isLoading = true;
      activeLoads++;
      actions.add(new RepairAction.StartLoad(replica.id, member.id));
      update(replica);
    }
  }
}
