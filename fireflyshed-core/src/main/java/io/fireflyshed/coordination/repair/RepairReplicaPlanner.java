package io.fireflyshed.coordination.repair;

import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.AssignmentState;
import io.fireflyshed.coordination.assignment.ClusterState;
import io.fireflyshed.coordination.assignment.DissolveCause;
import io.fireflyshed.coordination.assignment.InstanceState;
import io.fireflyshed.coordination.assignment.InstanceStatus;
import io.fireflyshed.coordination.assignment.PlanAction;
import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Plans a zone with a {@link RepairPlanner}: converts the differences between successive states
 * into events, and proposes the actions that bring each replica from its stored assignment to its
 * planned members.
 *
 * <p>A call compares each instance and replica once, and does more work only for those that have
 * changed or do not match the plan yet. If the stored replicas are not the planned ones, for
 * example after another coordinator held the lease, the planner rebuilds its state from the stored
 * replicas and keeps only the recorded outages. Not thread safe; must be called on the control
 * thread.
 */
public final class RepairReplicaPlanner implements ReplicaPlanner {

  private final RepairSettings settings;
  private final OutageHistory history = new OutageHistory();
  private final WantedReplicas wantedReplicas;
  private final Map<InstanceId, InstanceState> instances = new HashMap<>();
  private final Map<ReplicaId, AssignmentState> assignments = new HashMap<>();
  private final Set<ReplicaId> unreconciled = new LinkedHashSet<>();
  private RepairPlanner planner;
  private boolean isResetDue = true;
  private boolean isRolloutDue;
  private List<InstanceState> lastInstances = List.of();
  private List<AssignmentState> lastAssignments = List.of();
  private List<ModelServiceSpec> lastServices = List.of();

  /**
   * Creates a planner without state.
   *
   * @param settings the settings of formation and repair, not null
   * @param rollout the limits on planned changes, not null
   */
  public RepairReplicaPlanner(RepairSettings settings, RolloutSettings rollout) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.wantedReplicas = new WantedReplicas(Objects.requireNonNull(rollout, "rollout"));
    this.planner = new RepairPlanner(settings, history);
  }

  @Override
  public List<PlanAction> plan(ClusterState state) {
    updateAssignments(state.assignments());
    if (isResetDue || !state.services().equals(lastServices)) {
      reset(state);
    } else {
      updateInstances(state);
    }
    lastInstances = state.instances();
    lastAssignments = state.assignments();
    lastServices = state.services();
    submit(new RepairEvent.TimePassed(state.nowNanos()));
    List<PlanAction> actions = new ArrayList<>();
    if (isRolloutDue) {
      startPlannedChanges(state, actions);
    }
    for (ReplicaId id : List.copyOf(unreconciled)) {
      reconcile(id, state.nowNanos(), actions);
    }
    return actions;
  }

  private void updateAssignments(List<AssignmentState> current) {
    boolean isSameOrder = current.size() == lastAssignments.size();
    for (int i = 0; i < current.size(); i++) {
      AssignmentState next = current.get(i);
      AssignmentState last = isSameOrder ? lastAssignments.get(i) : null;
      if (last == null || !isSameReplica(last, next)) {
        isSameOrder = false;
        last = assignments.get(next.assignment().id());
      }
      if (last == null || !isUnchanged(last, next)) {
        recordChange(last, next);
      }
    }
    if (!isSameOrder && assignments.size() != current.size()) {
      Set<ReplicaId> present = new HashSet<>();
      current.forEach(a -> present.add(a.assignment().id()));
      assignments.keySet().retainAll(present);
    }
  }

  private void recordChange(AssignmentState last, AssignmentState next) {
    ReplicaId id = next.assignment().id();
    assignments.put(id, next);
    unreconciled.add(id);
    isRolloutDue = true;
    isResetDue |= isUnplanned(last, next);
  }

  private static boolean isSameReplica(AssignmentState last, AssignmentState next) {
    return last.assignment() == next.assignment()
        || last.assignment().id().equals(next.assignment().id());
  }

  private static boolean isUnchanged(AssignmentState last, AssignmentState next) {
    if (last == next) {
      return true;
    }
    if (last.phase() != next.phase() || !isSameGeneration(last, next)) {
      return false;
    }
    return isFullyReady(last) && isFullyReady(next)
        || last.ready().equals(next.ready()) && last.loading().equals(next.loading());
  }

  private static boolean isSameGeneration(AssignmentState last, AssignmentState next) {
    return last.assignment() == next.assignment()
        || last.assignment().generation() == next.assignment().generation();
  }

  private static boolean isFullyReady(AssignmentState state) {
    return state.ready().size() == state.assignment().members().size();
  }

  /**
   * Tests whether an active replica has a new generation whose members this planner did not plan.
   */
  private boolean isUnplanned(AssignmentState last, AssignmentState next) {
    boolean isNew = last == null || !isSameGeneration(last, next);
    return isNew
        && next.phase() == AssignmentPhase.ACTIVE
        && !toIds(next).equals(planner.getMembers(next.assignment().id()));
  }

  private void reset(ClusterState state) {
    isResetDue = false;
    isRolloutDue = true;
    planner = new RepairPlanner(settings, history);
    instances.clear();
    unreconciled.clear();
    wantedReplicas.update(state);
    long now = state.nowNanos();
    for (InstanceState instance : state.instances()) {
      instances.put(instance.instance().id(), instance);
      InstanceRecord listed = instance.instance();
      planner.handle(new RepairEvent.InstanceAdded(listed.id(), listed.domain(), now));
    }
    for (AssignmentState stored : state.assignments()) {
      unreconciled.add(stored.assignment().id());
      if (stored.phase() == AssignmentPhase.ACTIVE) {
        submit(new RepairEvent.ReplicaFormed(stored.assignment().id(), toIds(stored), now));
        stored.ready().forEach(m -> submit(new RepairEvent.LoadFinished(m, now)));
      }
    }
    state.instances().stream().filter(i -> !isUp(i)).forEach(i -> submit(newLostEvent(i, now)));
    wantedReplicas
        .getEffectiveSpecs()
        .forEach(
            (id, spec) ->
                submit(new RepairEvent.ReplicaWanted(id, spec.instancesPerReplica(), now)));
  }

  private void updateInstances(ClusterState state) {
    List<InstanceState> current = state.instances();
    boolean isSameOrder = current.size() == lastInstances.size();
    for (int i = 0; i < current.size(); i++) {
      InstanceState next = current.get(i);
      InstanceState last = isSameOrder ? lastInstances.get(i) : null;
      if (last == null || !isSameInstance(last, next)) {
        isSameOrder = false;
        last = instances.get(next.instance().id());
      }
      if (last == null
          || last.status() != next.status()
          || last.isAssigned() != next.isAssigned()) {
        instances.put(next.instance().id(), next);
        recordChange(next, state.nowNanos());
      }
    }
    if (!isSameOrder) {
      removeMissing(state);
    }
  }

  private static boolean isSameInstance(InstanceState last, InstanceState next) {
    return last.instance() == next.instance() || last.instance().id().equals(next.instance().id());
  }

  private void removeMissing(ClusterState state) {
    Set<InstanceId> present = new HashSet<>();
    state.instances().forEach(i -> present.add(i.instance().id()));
    for (InstanceId id : List.copyOf(instances.keySet())) {
      if (!present.contains(id)) {
        instances.remove(id);
        submit(new RepairEvent.InstanceLost(id, true, state.nowNanos()));
      }
    }
  }

  private void recordChange(InstanceState next, long now) {
    InstanceId id = next.instance().id();
    Optional<ReplicaId> replica = planner.getReplica(id);
    replica.ifPresent(unreconciled::add);
    if (!isUp(next)) {
      submit(newLostEvent(next, now));
      return;
    }
    submit(new RepairEvent.InstanceAdded(id, next.instance().domain(), now));
    boolean isReady = replica.map(assignments::get).map(a -> a.ready().contains(id)).orElse(false);
    submit(new RepairEvent.InstanceReturned(id, isReady, now));
  }

  private static RepairEvent newLostEvent(InstanceState state, long now) {
    boolean isPermanent = state.status() == InstanceStatus.LEAVING;
    return new RepairEvent.InstanceLost(state.instance().id(), isPermanent, now);
  }

  private static boolean isUp(InstanceState state) {
    return state.status() == InstanceStatus.HEALTHY
        || state.status() == InstanceStatus.UNSTABLE && state.isAssigned();
  }

  private void startPlannedChanges(ClusterState state, List<PlanAction> actions) {
    isRolloutDue = false;
    for (ReplicaId id : wantedReplicas.findReplicasToChange(state.assignments())) {
      AssignmentState stored = assignments.get(id);
      ModelServiceSpec spec = wantedReplicas.getWantedSpec(id);
      wantedReplicas.adoptWantedSpec(id);
      boolean isSameSize =
          spec != null && spec.instancesPerReplica() == stored.assignment().members().size();
      if (isSameSize) {
        long generation = stored.assignment().generation();
        actions.add(new PlanAction.ChangeModel(id, generation, spec.model()));
        isRolloutDue = true;
        continue;
      }
      submit(new RepairEvent.ReplicaUnwanted(id, state.nowNanos()));
      unreconciled.add(id);
      if (spec != null) {
        int size = spec.instancesPerReplica();
        submit(new RepairEvent.ReplicaWanted(id, size, state.nowNanos()));
      }
    }
  }

  private void reconcile(ReplicaId id, long now, List<PlanAction> actions) {
    AssignmentState stored = assignments.get(id);
    if (stored == null || stored.phase() == AssignmentPhase.DISSOLVED) {
      form(id, now, actions);
    } else if (stored.phase() == AssignmentPhase.ACTIVE) {
      reconcileActive(stored, now, actions);
    }
  }

  private void form(ReplicaId id, long now, List<PlanAction> actions) {
    ModelServiceSpec spec = wantedReplicas.getWantedSpec(id);
    if (spec == null) {
      submit(new RepairEvent.ReplicaUnwanted(id, now));
      unreconciled.remove(id);
      return;
    }
    List<InstanceId> members = planner.getMembers(id);
    if (!members.isEmpty() && members.size() != spec.instancesPerReplica()) {
      submit(new RepairEvent.ReplicaUnwanted(id, now));
      submit(new RepairEvent.ReplicaWanted(id, spec.instancesPerReplica(), now));
      return;
    }
    List<InstanceRecord> records = new ArrayList<>();
    for (InstanceId member : members) {
      InstanceState instance = instances.get(member);
      if (instance == null || !instance.isFree()) {
        return;
      }
      records.add(instance.instance());
    }
    if (!records.isEmpty()) {
      actions.add(new PlanAction.FormReplica(id, spec.name(), spec.model(), records));
    }
  }

  private void reconcileActive(AssignmentState stored, long now, List<PlanAction> actions) {
    Assignment assignment = stored.assignment();
    Optional<DissolveCause> cause = findDissolveCause(stored);
    if (cause.isPresent()) {
      actions.add(
          new PlanAction.DissolveReplica(assignment.id(), assignment.generation(), cause.get()));
      return;
    }
    List<InstanceId> members = toIds(stored);
    submit(new RepairEvent.ReplicaFormed(assignment.id(), members, now));
    for (InstanceId member : members) {
      boolean isReady = stored.ready().contains(member);
      if (isReady && !planner.isLoaded(member)) {
        submit(new RepairEvent.LoadFinished(member, now));
      } else if (!isReady && planner.isLoaded(member)) {
        submit(new RepairEvent.MemberUnloaded(member, now));
      }
    }
    for (InstanceId member : members) {
      if (planner.isLoading(member) && !stored.loading().contains(member)) {
        actions.add(new PlanAction.LoadMember(assignment.id(), assignment.generation(), member));
      }
    }
    if (isFullyReady(stored)) {
      unreconciled.remove(assignment.id());
    }
  }

  private Optional<DissolveCause> findDissolveCause(AssignmentState stored) {
    ReplicaId id = stored.assignment().id();
    if (!wantedReplicas.hasEffectiveSpec(id)) {
      return Optional.of(DissolveCause.SURPLUS);
    }
    List<InstanceId> members = toIds(stored);
    if (members.stream().anyMatch(this::isLeaving)) {
      return Optional.of(DissolveCause.DRAIN);
    }
    List<InstanceId> planned = planner.getMembers(id);
    if (planned.equals(members)) {
      return Optional.empty();
    }
    return Optional.of(planned.isEmpty() ? DissolveCause.REGROUP : DissolveCause.MEMBER_LOST);
  }

  private boolean isLeaving(InstanceId id) {
    InstanceState state = instances.get(id);
    return state != null && state.status() == InstanceStatus.LEAVING;
  }

  private void submit(RepairEvent event) {
    for (RepairAction action : planner.handle(event)) {
      if (action instanceof RepairAction.SetMembers set) {
        unreconciled.add(set.replica());
      } else if (action instanceof RepairAction.Dissolve dissolve) {
        unreconciled.add(dissolve.replica());
      } else if (action instanceof RepairAction.StartLoad load) {
        unreconciled.add(load.replica());
      }
    }
  }

  private static List<InstanceId> toIds(AssignmentState state) {
    return state.assignment().members().stream().map(InstanceRecord::id).toList();
  }
}
