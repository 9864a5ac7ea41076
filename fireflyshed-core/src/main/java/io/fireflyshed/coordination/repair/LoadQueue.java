package io.fireflyshed.coordination.repair;

import java.util.List;
import java.util.TreeSet;

/**
 * Orders loads under the rate limit of the weight store: replicas become whole one after another,
 * the one with least left first. Not thread safe.
 *
 * <p>Serving the shortest remaining work first gives the least total waiting time on one server
 * (Smith, "Various optimizers for single-stage production", 1956).
 */
final class LoadQueue {

  private final int slots;
  private final TreeSet<ReplicaEntry> waiting = new TreeSet<>(ReplicaEntry.LEAST_LEFT_FIRST);
  private int active;

  LoadQueue(int slots) {
    this.slots = slots;
  }

  /** Moves a replica to its place after a change; it must be called after each change. */
  void update(ReplicaEntry replica) {
    waiting.remove(replica);
    replica.updateKey();
    if (replica.getLoadable() != null) {
      waiting.add(replica);
    }
  }

  void remove(ReplicaEntry replica) {
    waiting.remove(replica);
  }

  /** Ends the load of an instance, whether it finished or not. */
  void end(InstanceEntry instance) {
    if (instance.isLoading) {
      instance.isLoading = false;
      active--;
    }
  }

  void start(List<RepairAction> actions) {
    while (active < slots && !waiting.isEmpty()) {
      ReplicaEntry replica = waiting.first();
      InstanceEntry member = replica.getLoadable();
      member.isLoading = true;
      active++;
      actions.add(new RepairAction.StartLoad(replica.id, member.id));
      update(replica);
    }
  }
}
