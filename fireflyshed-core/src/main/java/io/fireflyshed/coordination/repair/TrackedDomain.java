package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.FabricDomain;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The free instances and the incomplete replicas of one fabric domain. Not thread safe. */
final class TrackedDomain {

  final FabricDomain id;

  /** The instances that are up and in no replica, those that have been free longest first. */
  final Set<TrackedInstance> free = new LinkedHashSet<>();

  /** The replicas that have an unassigned position or a member that is down. */
  final Set<TrackedReplica> incomplete = new LinkedHashSet<>();

  TrackedDomain(FabricDomain id) {
    this.id = id;
  }

  List<TrackedInstance> getUsableInstances(long nowNanos) {
    List<TrackedInstance> usable = new ArrayList<>(free.size());
    for (TrackedInstance instance : free) {
      if (!instance.isUnstable(nowNanos)) {
        usable.add(instance);
      }
    }
    return usable;
  }
}
