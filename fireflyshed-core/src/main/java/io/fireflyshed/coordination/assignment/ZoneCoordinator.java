package io.fireflyshed.coordination.assignment;

import io.fireflyshed.coordination.lease.LeaseGrant;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Turns the actions that a planner proposes into transactions and orders that keep every instance
 * in at most one replica.
 *
 * <p>The coordinator acts only on rows that were read after it took the lease and after its last
 * commit ended, so the next read shows the result of a commit whose response was lost. A dissolving
 * replica keeps its members until {@link DissolveTracker} determines that no entry can use it any
 * more. Not thread safe; must be used on the control thread.
 */
public final class ZoneCoordinator {

  private final DissolveTiming timing;
  private final ReplicaPlanner planner;
  private final InstanceView view;
  private final Map<ReplicaId, VersionedAssignment> rows = new HashMap<>();
  private final Map<ReplicaId, DissolveTracker> trackers = new HashMap<>();
  private final Map<ReplicaId, Long> downSinceNanos = new HashMap<>();
  private final Map<Assignment, Long> drainingSinceNanos = new HashMap<>();
  private final Map<InstanceId, Long> quarantineEndNanos = new HashMap<>();
  private final Set<InstanceId> ordersInFlight = new HashSet<>();
  private final Map<InstanceId, Long> loadAcceptedNanos = new HashMap<>();

  private long epoch;
  private long generationCount;
  private long earliestReadNanos;
  private boolean isStateCurrent;
  private int commitsInFlight;

  /**
   * Creates a coordinator without any state.
   *
   * @param timing the durations that delay the release of instances, not null
   * @param planner proposes the actions, not null
   * @param view the instances as this process knows them, updated by the caller, not null
   */
  public ZoneCoordinator(DissolveTiming timing, ReplicaPlanner planner, InstanceView view) {
    this.timing = Objects.requireNonNull(timing, "timing");
    this.planner = Objects.requireNonNull(planner, "planner");
    this.view = Objects.requireNonNull(view, "view");
  }

  /**
   * Replaces the rows of all replicas of the zone by the result of a read.
   *
   * @param newRows the rows, not null
   * @param sentNanos the monotonic clock reading, in nanoseconds, taken before the read was sent
   * @param nowNanos the reading taken when the answer arrived
   */
  public void onRows(List<VersionedAssignment> newRows, long sentNanos, long nowNanos) {
    rows.clear();
    newRows.forEach(r -> rows.put(r.stored().assignment().id(), r));
    isStateCurrent = commitsInFlight == 0 && epoch > 0 && sentNanos - earliestReadNanos >= 0;
    if (isStateCurrent) {
      updateTrackers(nowNanos);
    }
  }

  private void updateTrackers(long nowNanos) {
    Set<ReplicaId> dissolving = new HashSet<>();
    for (VersionedAssignment row : rows.values()) {
      if (row.stored().phase() == AssignmentPhase.DISSOLVING) {
        Assignment assignment = row.stored().assignment();
        dissolving.add(assignment.id());
        DissolveTracker tracker = trackers.get(assignment.id());
        if (tracker == null || !tracker.getAssignment().equals(assignment)) {
          trackers.put(assignment.id(), new DissolveTracker(assignment, timing, nowNanos));
        }
      }
    }
    trackers.keySet().retainAll(dissolving);
  }

  /**
   * Records the answer to a probe.
   *
   * @param health the answer, not null
   * @param sentNanos the monotonic clock reading, in nanoseconds, taken before the probe was sent
   * @param nowNanos the reading taken when the answer arrived
   */
  public void onHealth(MemberHealth health, long sentNanos, long nowNanos) {
    trackers.values().stream()
        .filter(t -> t.getAssignment().isMember(health.instance()))
        .forEach(t -> t.onHealth(health, sentNanos, nowNanos));
  }

  /**
   * Records that a commit ended, whatever its outcome; the next read shows what it changed.
   *
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   */
  public void onCommitEnded(long nowNanos) {
    commitsInFlight--;
    earliestReadNanos = nowNanos;
    isStateCurrent = false;
  }

  /**
   * Records the outcome of an order.
   *
   * @param order the order, not null
   * @param isAccepted whether the engine confirmed that it accepted the order
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   */
  public void onOrderEnded(CoordinatorAction.Order order, boolean isAccepted, long nowNanos) {
    InstanceId instance = order.instance().id();
    ordersInFlight.remove(instance);
    if (!isAccepted) {
      return;
    }
    if (!order.isUnload()) {
      loadAcceptedNanos.put(instance, nowNanos);
      return;
    }
    trackers.values().stream()
        .filter(t -> t.getAssignment().isMember(instance))
        .filter(t -> order.fence() > t.getAssignment().generation())
        .forEach(t -> t.onUnloadAccepted(instance, nowNanos));
  }

  /**
   * Plans the next actions. The caller must carry them out at once and in this order.
   *
   * @param grant the lease under which to act, not null
   * @param serving the replicas that are serving, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the actions, empty if there is nothing to do, never null
   */
  public List<CoordinatorAction> step(LeaseGrant grant, Set<ReplicaId> serving, long nowNanos) {
    if (grant.epoch() != epoch) {
      startEpoch(grant, nowNanos);
    }
    updateDownTimes(serving, nowNanos);
    updateDrainTimes(nowNanos);
    if (!isStateCurrent || commitsInFlight > 0 || !grant.isValid(nowNanos)) {
      return List.of();
    }
    List<CoordinatorAction> actions = new ArrayList<>();
    advanceDissolving(grant, nowNanos, actions);
    for (PlanAction action : planner.plan(getState(nowNanos))) {
      apply(action, grant, nowNanos).ifPresent(actions::add);
    }
    commitsInFlight =
        (int) actions.stream().filter(CoordinatorAction.Commit.class::isInstance).count();
    return actions;
  }

  private void startEpoch(LeaseGrant grant, long nowNanos) {
    epoch = grant.epoch();
    generationCount = 0;
    trackers.clear();
    loadAcceptedNanos.clear();
    isStateCurrent = false;
    earliestReadNanos = nowNanos;
  }

  private void updateDownTimes(Set<ReplicaId> serving, long nowNanos) {
    downSinceNanos.keySet().retainAll(rows.keySet());
    for (ReplicaId id : rows.keySet()) {
      if (serving.contains(id)) {
        downSinceNanos.remove(id);
      } else {
        downSinceNanos.putIfAbsent(id, nowNanos);
      }
    }
  }

  private void updateDrainTimes(long nowNanos) {
    Set<Assignment> draining = new HashSet<>();
    for (VersionedAssignment row : rows.values()) {
      Assignment assignment = row.stored().assignment();
      if (row.stored().isHolding() && view.isDraining(assignment)) {
        draining.add(assignment);
        drainingSinceNanos.putIfAbsent(assignment, nowNanos);
      }
    }
    drainingSinceNanos.keySet().retainAll(draining);
  }

  /** Tests whether the streams of a draining replica have failed or had time to finish. */
  private boolean isDrained(Assignment assignment, long nowNanos) {
    Long sinceNanos = drainingSinceNanos.get(assignment);
    return view.hasUnavailableMember(assignment, nowNanos)
        || sinceNanos != null && nowNanos - sinceNanos >= timing.drainTimeout().toNanos();
  }

  private void advanceDissolving(LeaseGrant grant, long nowNanos, List<CoordinatorAction> actions) {
    for (DissolveTracker tracker : trackers.values()) {
      Assignment assignment = tracker.getAssignment();
      if (view.isEveryMemberStopped(assignment, nowNanos)) {
        tracker.onAllStopped(nowNanos);
      }
      if (tracker.isReleasable(nowNanos)) {
        actions.add(new CoordinatorAction.Commit(newChangeAfterDissolving(grant, assignment.id())));
      } else if (tracker.isUnloadDue(isDrained(assignment, nowNanos), nowNanos)) {
        addUnloadOrders(tracker, nowNanos, actions);
      }
    }
  }

  private AssignmentChange newChangeAfterDissolving(LeaseGrant grant, ReplicaId id) {
    VersionedAssignment row = rows.get(id);
    StoredAssignment stored = row.stored();
    Assignment assignment = stored.assignment();
    if (stored.nextModel().isPresent()) {
      return newChange(
          grant,
          new StoredAssignment(
              withGeneration(assignment, newGeneration()),
              stored.nextModel().get(),
              AssignmentPhase.ACTIVE,
              Optional.empty()),
          row.version(),
          Set.of(),
          Set.of());
    }
    StoredAssignment next =
        new StoredAssignment(
            assignment, stored.model(), AssignmentPhase.DISSOLVED, Optional.empty());
    return newChange(grant, next, row.version(), Set.of(), toIds(assignment.members()));
  }

  private void addUnloadOrders(
      DissolveTracker tracker, long nowNanos, List<CoordinatorAction> actions) {
    Assignment assignment = tracker.getAssignment();
    for (InstanceRecord member : assignment.members()) {
      boolean isOrderNeeded = timing.isFencingEnforced() || view.isRunning(assignment, member.id());
      if (isOrderNeeded && !tracker.isStopped(member.id()) && ordersInFlight.add(member.id())) {
        tracker.onOrderSent(nowNanos);
        long fencingToken = GenerationUtils.toUnloadFencingToken(assignment.generation());
        actions.add(newUnloadOrder(member, fencingToken));
      }
    }
  }

  private Optional<CoordinatorAction> apply(PlanAction action, LeaseGrant grant, long nowNanos) {
    if (action instanceof PlanAction.FormReplica form) {
      return form(form, grant);
    }
    if (action instanceof PlanAction.DissolveReplica dissolve) {
      return dissolve(dissolve, grant, nowNanos);
    }
    if (action instanceof PlanAction.ChangeModel change) {
      return startDissolving(
          change.replica(), change.generation(), Optional.of(change.model()), grant);
    }
    if (action instanceof PlanAction.LoadMember load) {
      return load(load);
    }
    return release((PlanAction.ReleaseInstance) action, nowNanos);
  }

  private Optional<CoordinatorAction> form(PlanAction.FormReplica form, LeaseGrant grant) {
    VersionedAssignment row = rows.get(form.replica());
    Set<InstanceId> claimed = toIds(form.members());
    boolean isIdInUse = row != null && row.stored().isHolding();
    boolean isOneDomain =
        form.members().stream().map(InstanceRecord::domain).distinct().count() == 1;
    if (isIdInUse || !isOneDomain || claimed.stream().anyMatch(this::isHeld)) {
      return Optional.empty();
    }
    Assignment assignment =
        new Assignment(form.replica(), form.service(), newGeneration(), form.members());
    StoredAssignment next =
        new StoredAssignment(assignment, form.model(), AssignmentPhase.ACTIVE, Optional.empty());
    long version = row == null ? 0 : row.version();
    return Optional.of(
        new CoordinatorAction.Commit(newChange(grant, next, version, claimed, Set.of())));
  }

  /**
   * Dissolves a replica. A draining one stays active until it is drained, so that the drain can
   * still be canceled.
   */
  private Optional<CoordinatorAction> dissolve(
      PlanAction.DissolveReplica dissolve, LeaseGrant grant, long nowNanos) {
    VersionedAssignment row = rows.get(dissolve.replica());
    boolean isStillDraining =
        row != null
            && dissolve.cause() == DissolveCause.DRAIN
            && !isDrained(row.stored().assignment(), nowNanos);
    return isStillDraining
        ? Optional.empty()
        : startDissolving(dissolve.replica(), dissolve.generation(), Optional.empty(), grant);
  }

  private Optional<CoordinatorAction> startDissolving(
      ReplicaId id, long generation, Optional<String> nextModel, LeaseGrant grant) {
    VersionedAssignment row = rows.get(id);
    if (!isActive(row, generation)) {
      return Optional.empty();
    }
    StoredAssignment next =
        new StoredAssignment(
            row.stored().assignment(), row.stored().model(), AssignmentPhase.DISSOLVING, nextModel);
    return Optional.of(
        new CoordinatorAction.Commit(newChange(grant, next, row.version(), Set.of(), Set.of())));
  }

  private Optional<CoordinatorAction> load(PlanAction.LoadMember load) {
    VersionedAssignment row = rows.get(load.replica());
    if (!isActive(row, load.generation())) {
      return Optional.empty();
    }
    Assignment assignment = row.stored().assignment();
    Optional<InstanceRecord> member =
        assignment.members().stream().filter(m -> m.id().equals(load.member())).findFirst();
    if (member.isEmpty()
        || view.isRunning(assignment, load.member())
        || !ordersInFlight.add(load.member())) {
      return Optional.empty();
    }
    return Optional.of(
        new CoordinatorAction.Order(
            member.get(),
            Optional.of(assignment.id()),
            assignment.generation(),
            assignment.generation(),
            row.stored().model(),
            assignment.members().stream().map(InstanceRecord::id).toList()));
  }

  private Optional<CoordinatorAction> release(PlanAction.ReleaseInstance release, long nowNanos) {
    Optional<InstanceRecord> instance = view.getListed(release.instance());
    if (instance.isEmpty()
        || isHeld(release.instance())
        || !ordersInFlight.add(release.instance())) {
      return Optional.empty();
    }
    quarantineEndNanos.put(release.instance(), nowNanos + timing.getQuarantineNanos());
    return Optional.of(newUnloadOrder(instance.get(), newGeneration()));
  }

  /**
   * Returns the state of the zone as this process knows it.
   *
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the state, never null
   */
  public ClusterState getState(long nowNanos) {
    quarantineEndNanos.values().removeIf(e -> e - nowNanos <= 0);
    Map<InstanceId, InstanceRecord> members = new HashMap<>();
    Set<InstanceId> held = new HashSet<>();
    List<AssignmentState> assignments = new ArrayList<>();
    rows.values().stream()
        .sorted((first, second) -> compareIds(first, second))
        .forEach(r -> assignments.add(toState(r.stored(), nowNanos)));
    for (AssignmentState state : assignments) {
      if (state.isHolding()) {
        state.assignment().members().forEach(m -> members.put(m.id(), m));
        state.assignment().members().forEach(m -> held.add(m.id()));
      }
    }
    return view.toState(members, held, quarantineEndNanos.keySet(), assignments, nowNanos);
  }

  private static int compareIds(VersionedAssignment first, VersionedAssignment second) {
    return first.stored().assignment().id().compareTo(second.stored().assignment().id());
  }

  private AssignmentState toState(StoredAssignment stored, long nowNanos) {
    Assignment assignment = stored.assignment();
    Set<InstanceId> ready = new HashSet<>();
    Set<InstanceId> loading = new HashSet<>();
    for (InstanceRecord member : assignment.members()) {
      if (view.isReady(assignment, member.id())) {
        ready.add(member.id());
      } else if (view.isRunning(assignment, member.id()) || isLoadPending(member.id())) {
        loading.add(member.id());
      }
    }
    Long sinceNanos = downSinceNanos.get(assignment.id());
    return new AssignmentState(
        assignment,
        stored.model(),
        stored.phase(),
        ready,
        loading,
        sinceNanos == null ? OptionalLong.empty() : OptionalLong.of(sinceNanos));
  }

  private boolean isLoadPending(InstanceId member) {
    Long accepted = loadAcceptedNanos.get(member);
    return ordersInFlight.contains(member)
        || accepted != null && view.isAnswerOlderThan(member, accepted);
  }

  private boolean isHeld(InstanceId instance) {
    return rows.values().stream()
        .map(VersionedAssignment::stored)
        .anyMatch(s -> s.isHolding() && s.assignment().isMember(instance));
  }

  private static boolean isActive(VersionedAssignment row, long generation) {
    return row != null
        && row.stored().isActive()
        && row.stored().assignment().generation() == generation;
  }

  private long newGeneration() {
    generationCount++;
    return GenerationUtils.toGeneration(epoch, generationCount);
  }

  private static Assignment withGeneration(Assignment assignment, long generation) {
    return new Assignment(assignment.id(), assignment.service(), generation, assignment.members());
  }

  private static AssignmentChange newChange(
      LeaseGrant grant,
      StoredAssignment next,
      long version,
      Set<InstanceId> claimed,
      Set<InstanceId> freed) {
    return new AssignmentChange(grant.epochVersion(), next, version, claimed, freed);
  }

  private static CoordinatorAction newUnloadOrder(InstanceRecord instance, long fencingToken) {
    return new CoordinatorAction.Order(instance, Optional.empty(), 0, fencingToken, "", List.of());
  }

  private static Set<InstanceId> toIds(List<InstanceRecord> members) {
    return new HashSet<>(members.stream().map(InstanceRecord::id).toList());
  }
}
