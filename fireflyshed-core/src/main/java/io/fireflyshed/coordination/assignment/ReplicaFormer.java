package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * A naive planner that dissolves a replica as soon as a member is lost, loads all members at once
 * and keeps no spares. Stateless and thread safe.
 */
public final class ReplicaFormer implements ReplicaPlanner {

  @Override
  public List<PlanAction> plan(ClusterState state) {
    List<PlanAction> plan = new ArrayList<>();
    Map<InstanceId, InstanceStatus> statuses = new TreeMap<>();
    state.instances().forEach(i -> statuses.put(i.instance().id(), i.status()));
    for (AssignmentState assignment : state.assignments()) {
      if (assignment.phase() == AssignmentPhase.ACTIVE) {
        maintain(state, assignment, statuses, plan);
      }
    }
    form(state, plan);
    return plan;
  }

  private static void maintain(
      ClusterState state,
      AssignmentState current,
      Map<InstanceId, InstanceStatus> statuses,
      List<PlanAction> plan) {
    ReplicaId id = current.assignment().id();
    long generation = current.assignment().generation();
    Optional<DissolveCause> cause = findCause(current, statuses);
    if (cause.isPresent()) {
      plan.add(new PlanAction.DissolveReplica(id, generation, cause.get()));
      return;
    }
    Optional<String> model =
        state.services().stream()
            .filter(s -> s.name().equals(current.assignment().service()))
            .map(ModelServiceSpec::model)
            .findFirst();
    if (model.isPresent() && !model.get().equals(current.model())) {
      plan.add(new PlanAction.ChangeModel(id, generation, model.get()));
      return;
    }
    for (InstanceRecord member : current.assignment().members()) {
      if (!current.ready().contains(member.id()) && !current.loading().contains(member.id())) {
        plan.add(new PlanAction.LoadMember(id, generation, member.id()));
      }
    }
  }

  private static Optional<DissolveCause> findCause(
      AssignmentState current, Map<InstanceId, InstanceStatus> statuses) {
    Set<InstanceStatus> memberStatuses = new HashSet<>();
    current.assignment().members().forEach(m -> memberStatuses.add(statuses.get(m.id())));
    if (memberStatuses.contains(InstanceStatus.LEAVING)) {
      return Optional.of(DissolveCause.DRAIN);
    }
    return memberStatuses.contains(InstanceStatus.FAILED)
        ? Optional.of(DissolveCause.MEMBER_LOST)
        : Optional.empty();
  }

  private static void form(ClusterState state, List<PlanAction> plan) {
    Map<FabricDomain, List<InstanceRecord>> free = new TreeMap<>();
    state.instances().stream()
        .filter(InstanceState::isFree)
        .map(InstanceState::instance)
        .forEach(i -> free.computeIfAbsent(i.domain(), d -> new ArrayList<>()).add(i));
    Set<ReplicaId> taken = new HashSet<>();
    Map<ServiceName, Integer> active = new HashMap<>();
    for (AssignmentState assignment : state.assignments()) {
      if (assignment.isHolding()) {
        taken.add(assignment.assignment().id());
      }
      if (assignment.phase() == AssignmentPhase.ACTIVE) {
        active.merge(assignment.assignment().service(), 1, Integer::sum);
      }
    }
    for (ModelServiceSpec spec : state.services()) {
      for (int i = active.getOrDefault(spec.name(), 0); i < spec.replicas(); i++) {
        ReplicaId id = newId(spec, state.zone(), taken);
        taken.add(id);
        takeInstances(free, spec.instancesPerReplica())
            .ifPresent(m -> plan.add(new PlanAction.FormReplica(id, spec.name(), spec.model(), m)));
      }
    }
  }

  private static ReplicaId newId(
      ModelServiceSpec spec, AvailabilityZone zone, Set<ReplicaId> taken) {
    int index = 0;
    ReplicaId id = new ReplicaId(spec.name() + "." + zone + "." + index);
    while (taken.contains(id)) {
      index++;
      id = new ReplicaId(spec.name() + "." + zone + "." + index);
    }
    return id;
  }

  private static Optional<List<InstanceRecord>> takeInstances(
      Map<FabricDomain, List<InstanceRecord>> free, int count) {
    for (List<InstanceRecord> domain : free.values()) {
      if (domain.size() >= count) {
        List<InstanceRecord> chosen = domain.subList(0, count);
        List<InstanceRecord> members = List.copyOf(chosen);
        chosen.clear();
        return Optional.of(members);
      }
    }
    return Optional.empty();
  }
}
