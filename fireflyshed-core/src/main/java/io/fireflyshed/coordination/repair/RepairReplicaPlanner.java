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
 * Plans a zone by a {@link RepairPlanner}: turns the differences between two states into events,
 * and proposes what brings each replica from its stored assignment to its planned members.
 *
 * <p>A call costs one comparison for each instance and replica, and more only for those that
 * changed or are not yet as planned. Where the stored replicas are not those that were planned, for
 * example after another coordinator had the lease, the planner starts anew from what is stored and
 * keeps only what it learned of outages. Not thread safe; belongs to the control thread.
 */
public final class RepairReplicaPlanner implements ReplicaPlanner {

  private final RepairSettings settings;
  private final OutageHistory history = new OutageHistory();
  private final ReplicaWishes wishes;
  private final Map<InstanceId, InstanceState> instances = new HashMap<>();
  private final Map<ReplicaId, AssignmentState> assignments = new HashMap<>();
  private final Set<ReplicaId> unsettled = new LinkedHashSet<>();
  private RepairPlanner planner;
  private boolean isResetDue = true;
  private boolean isChangeDue;
  private List<InstanceState> lastInstances = List.of();
  private List<AssignmentState> lastAssignments = List.of();
  private List<ModelServiceSpec> lastServices = List.of();

  /**
   * Creates a planner without memory.
   *
   * @param settings the settings of forming and repair, not null
   * @param rollout the bounds of changes on purpose, not null
   */
  public RepairReplicaPlanner(RepairSettings settings, RolloutSettings rollout) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.wishes = new ReplicaWishes(Objects.requireNonNull(rollout, "rollout"));
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
    tell(new RepairEvent.TimePassed(state.nowNanos()));
    List<PlanAction> actions = new ArrayList<>();
    if (isChangeDue) {
      changeOnPurpose(state, actions);
    }
    for (ReplicaId id : List.copyOf(unsettled)) {
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
      if (last == null || !isSame(last, next)) {
        onChanged(last, next);
      }
    }
    if (!isSameOrder && assignments.size() != current.size()) {
      Set<ReplicaId> present = new HashSet<>();
      current.forEach(a -> present.add(a.assignment().id()));
      assignments.keySet().retainAll(present);
    }
  }

  private void onChanged(AssignmentState last, AssignmentState next) {
    ReplicaId id = next.assignment().id();
    assignments.put(id, next);
    unsettled.add(id);
    isChangeDue = true;
    isResetDue |= isForeign(last, next);
  }

  private static boolean isSameReplica(AssignmentState last, AssignmentState next) {
    return last.assignment() == next.assignment()
        || last.assignment().id().equals(next.assignment().id());
  }

  private static boolean isSame(AssignmentState last, AssignmentState next) {
    if (last == next) {
      return true;
    }
    if (last.phase() != next.phase() || !isSameGeneration(last, next)) {
      return false;
    }
    return isAllReady(last) && isAllReady(next)
        || last.ready().equals(next.ready()) && last.loading().equals(next.loading());
  }

  private static boolean isSameGeneration(AssignmentState last, AssignmentState next) {
    return last.assignment() == next.assignment()
        || last.assignment().generation() == next.assignment().generation();
  }

  private static boolean isAllReady(AssignmentState state) {
    return state.ready().size() == state.assignment().members().size();
  }

  /** Tests whether a new generation has members that this planner did not plan. */
  private boolean isForeign(AssignmentState last, AssignmentState next) {
    boolean isNew = last == null || !isSameGeneration(last, next);
    return isNew
        && next.phase() == AssignmentPhase.ACTIVE
        && !toIds(next).equals(planner.getMembers(next.assignment().id()));
  }

  private void reset(ClusterState state) {
    isResetDue = false;
    isChangeDue = true;
    planner = new RepairPlanner(settings, history);
    instances.clear();
    unsettled.clear();
    wishes.update(state);
    long now = state.nowNanos();
    for (InstanceState instance : state.instances()) {
      instances.put(instance.instance().id(), instance);
      InstanceRecord listed = instance.instance();
      planner.handle(new RepairEvent.InstanceAdded(listed.id(), listed.domain(), now));
    }
    for (AssignmentState stored : state.assignments()) {
      unsettled.add(stored.assignment().id());
      if (stored.phase() == AssignmentPhase.ACTIVE) {
        tell(new RepairEvent.ReplicaFormed(stored.assignment().id(), toIds(stored), now));
        stored.ready().forEach(m -> tell(new RepairEvent.LoadFinished(m, now)));
      }
    }
    state.instances().stream().filter(i -> !isUp(i)).forEach(i -> tell(newLost(i, now)));
    wishes
        .getKept()
        .forEach(
            (id, spec) -> tell(new RepairEvent.ReplicaWanted(id, spec.instancesPerReplica(), now)));
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
        onChanged(next, state.nowNanos());
      }
    }
    if (!isSameOrder) {
      forgetMissing(state);
    }
  }

  private static boolean isSameInstance(InstanceState last, InstanceState next) {
    return last.instance() == next.instance() || last.instance().id().equals(next.instance().id());
  }

  private void forgetMissing(ClusterState state) {
    Set<InstanceId> present = new HashSet<>();
    state.instances().forEach(i -> present.add(i.instance().id()));
    for (InstanceId id : List.copyOf(instances.keySet())) {
      if (!present.contains(id)) {
        instances.remove(id);
        tell(new RepairEvent.InstanceLost(id, true, state.nowNanos()));
      }
    }
  }

  private void onChanged(InstanceState next, long now) {
    InstanceId id = next.instance().id();
    Optional<ReplicaId> holder = planner.getHolder(id);
    holder.ifPresent(unsettled::add);
    if (!isUp(next)) {
      tell(newLost(next, now));
      return;
    }
    tell(new RepairEvent.InstanceAdded(id, next.instance().domain(), now));
    boolean isReady = holder.map(assignments::get).map(a -> a.ready().contains(id)).orElse(false);
    tell(new RepairEvent.InstanceReturned(id, isReady, now));
  }

  private static RepairEvent newLost(InstanceState state, long now) {
    boolean isGone = state.status() == InstanceStatus.LEAVING;
    return new RepairEvent.InstanceLost(state.instance().id(), isGone, now);
  }

  private static boolean isUp(InstanceState state) {
    return state.status() == InstanceStatus.HEALTHY
        || state.status() == InstanceStatus.UNSTABLE && state.isAssigned();
  }

  private void changeOnPurpose(ClusterState state, List<PlanAction> actions) {
    isChangeDue = false;
    for (ReplicaId id : wishes.getDue(state.assignments())) {
      AssignmentState stored = assignments.get(id);
      ModelServiceSpec spec = wishes.getWanted(id);
      wishes.change(id);
      boolean isSameSize =
          spec != null && spec.instancesPerReplica() == stored.assignment().members().size();
      if (isSameSize) {
        long generation = stored.assignment().generation();
        actions.add(new PlanAction.ChangeModel(id, generation, spec.model()));
        isChangeDue = true;
        continue;
      }
      tell(new RepairEvent.ReplicaUnwanted(id, state.nowNanos()));
      unsettled.add(id);
      if (spec != null) {
        int size = spec.instancesPerReplica();
        tell(new RepairEvent.ReplicaWanted(id, size, state.nowNanos()));
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
    ModelServiceSpec spec = wishes.getWanted(id);
    if (spec == null) {
      tell(new RepairEvent.ReplicaUnwanted(id, now));
      unsettled.remove(id);
      return;
    }
    List<InstanceId> members = planner.getMembers(id);
    if (!members.isEmpty() && members.size() != spec.instancesPerReplica()) {
      tell(new RepairEvent.ReplicaUnwanted(id, now));
      tell(new RepairEvent.ReplicaWanted(id, spec.instancesPerReplica(), now));
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
    Optional<DissolveCause> cause = getDissolveCause(stored);
    if (cause.isPresent()) {
      actions.add(
          new PlanAction.DissolveReplica(assignment.id(), assignment.generation(), cause.get()));
      return;
    }
    List<InstanceId> members = toIds(stored);
    tell(new RepairEvent.ReplicaFormed(assignment.id(), members, now));
    for (InstanceId member : members) {
      boolean isReady = stored.ready().contains(member);
      if (isReady && !planner.isLoaded(member)) {
        tell(new RepairEvent.LoadFinished(member, now));
      } else if (!isReady && planner.isLoaded(member)) {
        tell(new RepairEvent.MemberUnloaded(member, now));
      }
    }
    for (InstanceId member : members) {
      if (planner.isLoading(member) && !stored.loading().contains(member)) {
        actions.add(new PlanAction.LoadMember(assignment.id(), assignment.generation(), member));
      }
    }
    if (isAllReady(stored)) {
      unsettled.remove(assignment.id());
    }
  }

  private Optional<DissolveCause> getDissolveCause(AssignmentState stored) {
    ReplicaId id = stored.assignment().id();
    if (!wishes.isKept(id)) {
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

  private void tell(RepairEvent event) {
    for (RepairAction action : planner.handle(event)) {
      if (action instanceof RepairAction.SetMembers set) {
        unsettled.add(set.replica());
      } else if (action instanceof RepairAction.Dissolve dissolve) {
        unsettled.add(dissolve.replica());
      } else if (action instanceof RepairAction.StartLoad load) {
        unsettled.add(load.replica());
      }
    }
  }

  private static List<InstanceId> toIds(AssignmentState state) {
    return state.assignment().members().stream().map(InstanceRecord::id).toList();
  }
}
