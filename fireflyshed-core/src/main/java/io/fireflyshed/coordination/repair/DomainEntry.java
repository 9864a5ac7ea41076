package io.fireflyshed.coordination.repair;

import io.fireflyshed.state.instance.FabricDomain;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Holds the free instances and the broken replicas of one fabric domain. Not thread safe. */
final class DomainEntry {

  final FabricDomain id;

  /** The instances that are up and in no replica, the longest free first. */
  final Set<InstanceEntry> free = new LinkedHashSet<>();

  /** The replicas that lack a member or have one that is out. */
  final Set<ReplicaEntry> broken = new LinkedHashSet<>();

  DomainEntry(FabricDomain id) {
    this.id = id;
  }

  List<InstanceEntry> getUsable(long nowNanos) {
    List<InstanceEntry> usable = new ArrayList<>(free.size());
    for (InstanceEntry instance : free) {
      if (!instance.isUnstable(nowNanos)) {
        usable.add(instance);
      }
    }
    return usable;
  }
}
