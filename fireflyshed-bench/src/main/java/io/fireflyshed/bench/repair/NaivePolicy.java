package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * The baseline: dissolves a replica as soon as a member is lost, forms a new one as soon as a
 * domain has enough free instances, and loads all its members at once. Not thread safe.
 */
public final class NaivePolicy implements RepairPolicy {

  private final Map<InstanceId, FabricDomain> domains = new HashMap<>();
  private final Map<InstanceId, ReplicaId> assigned = new HashMap<>();
  private final Map<FabricDomain, Set<InstanceId>> free = new TreeMap<>();
  private final Map<ReplicaId, List<InstanceId>> formed = new HashMap<>();
  private final Map<ReplicaId, Integer> missing = new LinkedHashMap<>();

  @Override
  public List<RepairAction> handle(RepairEvent event) {
    List<RepairAction> actions = new ArrayList<>();
    if (event instanceof RepairEvent.InstanceAdded added) {
      domains.put(added.instance(), added.domain());
      addFree(added.instance());
    } else if (event instanceof RepairEvent.ReplicaWanted wanted) {
      missing.put(wanted.replica(), wanted.size());
    } else if (event instanceof RepairEvent.InstanceLost lost) {
      onLost(lost.instance(), actions);
    } else if (event instanceof RepairEvent.InstanceReturned returned) {
      addFree(returned.instance());
    } else if (event instanceof RepairEvent.ReplicaFormed done) {
      done.members().forEach(m -> actions.add(new RepairAction.StartLoad(done.replica(), m)));
    }
    formMissing(actions);
    return actions;
  }

  @Override
  public OptionalLong getNextDeadlineNanos() {
    return OptionalLong.empty();
  }

  private void addFree(InstanceId instance) {
    free.computeIfAbsent(domains.get(instance), d -> new LinkedHashSet<>()).add(instance);
  }

  private void onLost(InstanceId instance, List<RepairAction> actions) {
    ReplicaId replica = assigned.get(instance);
    if (replica == null) {
      free.get(domains.get(instance)).remove(instance);
      return;
    }
    List<InstanceId> members = formed.remove(replica);
    actions.add(new RepairAction.Dissolve(replica));
    missing.put(replica, members.size());
    members.forEach(assigned::remove);
    members.stream().filter(m -> !m.equals(instance)).forEach(this::addFree);
  }

  private void formMissing(List<RepairAction> actions) {
    for (ReplicaId replica : List.copyOf(missing.keySet())) {
      for (Set<InstanceId> domain : free.values()) {
        if (domain.size() >= missing.get(replica)) {
          List<InstanceId> members = domain.stream().limit(missing.remove(replica)).toList();
          members.forEach(domain::remove);
          members.forEach(m -> assigned.put(m, replica));
          formed.put(replica, members);
          actions.add(new RepairAction.SetMembers(replica, members));
          break;
        }
      }
    }
  }
}
