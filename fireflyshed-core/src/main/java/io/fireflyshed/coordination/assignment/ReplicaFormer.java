package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Forms new replicas from free instances of one fabric domain. Stateless and thread safe. */
public final class ReplicaFormer {

  private static final long FIRST_GENERATION = 1;

  /**
   * Plans the replicas that are missing in one availability zone.
   *
   * @param zone the zone, not null
   * @param specs the wanted services, not null
   * @param instances the listed instances, not null
   * @param assignments the assignments that exist, not null
   * @return the replicas to create, empty if none can be formed, never null
   */
  public List<Assignment> plan(
      AvailabilityZone zone,
      List<ModelServiceSpec> specs,
      List<InstanceRecord> instances,
      List<Assignment> assignments) {
    Map<FabricDomain, List<InstanceRecord>> free = findFree(zone, instances, assignments);
    Set<ReplicaId> taken = new HashSet<>(assignments.stream().map(Assignment::id).toList());
    List<Assignment> plan = new ArrayList<>();
    for (ModelServiceSpec spec : specs) {
      for (int i = 0; i < spec.replicas(); i++) {
        ReplicaId id = new ReplicaId(spec.name() + "." + zone + "." + i);
        if (!taken.contains(id)) {
          take(free, spec.instancesPerReplica())
              .ifPresent(m -> plan.add(new Assignment(id, spec.name(), FIRST_GENERATION, m)));
        }
      }
    }
    return plan;
  }

  private static Map<FabricDomain, List<InstanceRecord>> findFree(
      AvailabilityZone zone, List<InstanceRecord> instances, List<Assignment> assignments) {
    Set<InstanceId> assigned = new HashSet<>();
    assignments.forEach(a -> a.members().forEach(m -> assigned.add(m.id())));
    Map<FabricDomain, List<InstanceRecord>> free = new TreeMap<>();
    instances.stream()
        .filter(i -> i.isEngine() && !i.leaving() && i.zone().equals(zone))
        .filter(i -> !assigned.contains(i.id()))
        .sorted(Comparator.comparing(InstanceRecord::id))
        .forEach(i -> free.computeIfAbsent(i.domain(), d -> new ArrayList<>()).add(i));
    return free;
  }

  private static Optional<List<InstanceRecord>> take(
      Map<FabricDomain, List<InstanceRecord>> free, int count) {
    for (List<InstanceRecord> domain : free.values()) {
      if (domain.size() >= count) {
        List<InstanceRecord> head = domain.subList(0, count);
        List<InstanceRecord> members = List.copyOf(head);
        head.clear();
        return Optional.of(members);
      }
    }
    return Optional.empty();
  }
}
