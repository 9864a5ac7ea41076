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
 * Turns the proposals of a planner into transactions and orders that keep every instance in at most
 * one replica.
 *
 * <p>It acts only on rows that were read after the lease was taken and after its last commit ended,
 * so a lost answer is settled by the next read. A dissolving replica keeps its members until {@link
 * DissolveTracker} says that no entry can use it any more. Not thread safe; belongs to the control
 * thread.
 */
public final class ZoneCoordinator {

  private final DissolveTiming timing;
  private final ReplicaPlanner planner;
  private final InstanceView view;
  private final Map<ReplicaId, VersionedAssignment> rows = new HashMap<>();
  private final Map<ReplicaId, DissolveTracker> trackers = new HashMap<>();
  private final Map<ReplicaId, Long> downSince = new HashMap<>();
  private final Map<Assignment, Long> drainingSince = new HashMap<>();
  private final Map<InstanceId, Long> quarantineEnds = new HashMap<>();
  private final Set<InstanceId> ordering = new HashSet<>();
  private final Map<InstanceId, Long> loadAccepted = new HashMap<>();

  private long epoch;
  private long generationCount;
  private long freshFromNanos;
  private boolean isFresh;
  private int commitsInFlight;

  /**
   * Creates a coordinator that knows nothing.
   *
   * @param timing the durations of the waits, not null
   * @param planner proposes what to do, not null
   * @param view what this process knows of the instances; shared with the caller, not null
   */
  public ZoneCoordinator(DissolveTiming timing, ReplicaPlanner planner, InstanceView view) {
    this.timing = Objects.requireNonNull(timing, "timing");
    this.planner = Objects.requireNonNull(planner, "planner");
    this.view = Objects.requireNonNull(view, "view");
  }

  /**
   * Takes in the rows of all replicas of the zone.
   *
   * @param read the rows, not null
   * @param sentNanos the reading of the monotonic clock before the read was sent
   * @param nowNanos the reading after the answer came
   */
  public void onRows(List<VersionedAssignment> read, long sentNanos, long nowNanos) {
    rows.clear();
    read.forEach(r -> rows.put(r.stored().assignment().id(), r));
    isFresh = commitsInFlight == 0 && epoch > 0 && sentNanos - freshFromNanos >= 0;
    if (isFresh) {
      track(nowNanos);
    }
  }

  private void track(long nowNanos) {
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
   * Takes in an answer to a probe.
   *
   * @param health the answer, not null
   * @param sentNanos the reading of the monotonic clock before the probe was sent
   * @param nowNanos the reading after the answer came
   */
  public void onHealth(MemberHealth health, long sentNanos, long nowNanos) {
    trackers.values().stream()
        .filter(t -> t.getAssignment().isMember(health.instance()))
        .forEach(t -> t.onHealth(health, sentNanos, nowNanos));
  }

  /**
   * Takes in that a commit ended in any way; what it did is told by the next read.
   *
   * @param nowNanos the reading of the monotonic clock
   */
  public void onCommitEnded(long nowNanos) {
    commitsInFlight--;
    freshFromNanos = nowNanos;
    isFresh = false;
  }

  /**
   * Takes in that an order ended.
   *
   * @param order the order, not null
   * @param isAccepted whether the engine said that it took the order
   * @param nowNanos the reading of the monotonic clock
   */
  public void onOrderEnded(CoordinatorAction.Order order, boolean isAccepted, long nowNanos) {
    InstanceId instance = order.instance().id();
    ordering.remove(instance);
    if (!isAccepted) {
      return;
    }
    if (!order.isUnload()) {
      loadAccepted.put(instance, nowNanos);
      return;
    }
    trackers.values().stream()
        .filter(t -> t.getAssignment().isMember(instance))
        .filter(t -> order.fence() > t.getAssignment().generation())
        .forEach(t -> t.onUnloadAccepted(instance, nowNanos));
  }

  /**
   * Gets the next steps. The caller takes them at once and in this order.
   *
   * @param grant the lease, valid now, not null
   * @param serving the replicas that are whole and open, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the steps, empty to wait, never null
   */
  public List<CoordinatorAction> step(LeaseGrant grant, Set<ReplicaId> serving, long nowNanos) {
    if (grant.epoch() != epoch) {
      startEpoch(grant, nowNanos);
    }
    noteDown(serving, nowNanos);
    noteDraining(nowNanos);
    if (!isFresh || commitsInFlight > 0 || !grant.isValid(nowNanos)) {
      return List.of();
    }
    List<CoordinatorAction> actions = new ArrayList<>();
    dissolve(grant, nowNanos, actions);
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
    loadAccepted.clear();
    isFresh = false;
    freshFromNanos = nowNanos;
  }

  private void noteDown(Set<ReplicaId> serving, long nowNanos) {
    downSince.keySet().retainAll(rows.keySet());
    for (ReplicaId id : rows.keySet()) {
      if (serving.contains(id)) {
        downSince.remove(id);
      } else {
        downSince.putIfAbsent(id, nowNanos);
      }
    }
  }

  private void noteDraining(long nowNanos) {
    Set<Assignment> draining = new HashSet<>();
    for (VersionedAssignment row : rows.values()) {
      Assignment assignment = row.stored().assignment();
      if (row.stored().isHolding() && view.isDraining(assignment)) {
        draining.add(assignment);
        drainingSince.putIfAbsent(assignment, nowNanos);
      }
    }
    drainingSince.keySet().retainAll(draining);
  }

  /** Tests whether the streams of a replica that drains broke, or had time to finish. */
  private boolean isDrained(Assignment assignment, long nowNanos) {
    Long since = drainingSince.get(assignment);
    return view.isBroken(assignment, nowNanos)
        || since != null && nowNanos - since >= timing.drainTime().toNanos();
  }

  private void dissolve(LeaseGrant grant, long nowNanos, List<CoordinatorAction> actions) {
    for (DissolveTracker tracker : trackers.values()) {
      Assignment assignment = tracker.getAssignment();
      if (view.isAllGone(assignment, nowNanos)) {
        tracker.onAllGone(nowNanos);
      }
      if (tracker.isFree(nowNanos)) {
        actions.add(new CoordinatorAction.Commit(newEnd(grant, assignment.id())));
      } else if (tracker.isUnloadDue(isDrained(assignment, nowNanos), nowNanos)) {
        unload(tracker, nowNanos, actions);
      }
    }
  }

  private AssignmentChange newEnd(LeaseGrant grant, ReplicaId id) {
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

  private void unload(DissolveTracker tracker, long nowNanos, List<CoordinatorAction> actions) {
    Assignment assignment = tracker.getAssignment();
    for (InstanceRecord member : assignment.members()) {
      boolean isWanted = timing.isFencing() || view.isRunning(assignment, member.id());
      if (isWanted && !tracker.isStopped(member.id()) && ordering.add(member.id())) {
        tracker.onOrderSent(nowNanos);
        long fence = GenerationUtils.toUnloadFence(assignment.generation());
        actions.add(newUnload(member, fence));
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
      return end(change.replica(), change.generation(), Optional.of(change.model()), grant);
    }
    if (action instanceof PlanAction.LoadMember load) {
      return load(load);
    }
    return release((PlanAction.ReleaseInstance) action, nowNanos);
  }

  private Optional<CoordinatorAction> form(PlanAction.FormReplica form, LeaseGrant grant) {
    VersionedAssignment row = rows.get(form.replica());
    Set<InstanceId> claimed = toIds(form.members());
    boolean isTaken = row != null && row.stored().isHolding();
    boolean isOneDomain =
        form.members().stream().map(InstanceRecord::domain).distinct().count() == 1;
    if (isTaken || !isOneDomain || claimed.stream().anyMatch(this::isHeld)) {
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

  /** Dissolves a replica; one that drains stays as it is until then, so a drain can be lifted. */
  private Optional<CoordinatorAction> dissolve(
      PlanAction.DissolveReplica dissolve, LeaseGrant grant, long nowNanos) {
    VersionedAssignment row = rows.get(dissolve.replica());
    boolean isEarly =
        row != null
            && dissolve.cause() == DissolveCause.DRAIN
            && !isDrained(row.stored().assignment(), nowNanos);
    return isEarly
        ? Optional.empty()
        : end(dissolve.replica(), dissolve.generation(), Optional.empty(), grant);
  }

  private Optional<CoordinatorAction> end(
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
        || !ordering.add(load.member())) {
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
    if (instance.isEmpty() || isHeld(release.instance()) || !ordering.add(release.instance())) {
      return Optional.empty();
    }
    quarantineEnds.put(release.instance(), nowNanos + timing.getQuarantineNanos());
    return Optional.of(newUnload(instance.get(), newGeneration()));
  }

  /**
   * Gets the zone as this process knows it.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the state, never null
   */
  public ClusterState getState(long nowNanos) {
    quarantineEnds.values().removeIf(e -> e - nowNanos <= 0);
    Map<InstanceId, InstanceRecord> known = new HashMap<>();
    Set<InstanceId> held = new HashSet<>();
    List<AssignmentState> assignments = new ArrayList<>();
    rows.values().stream()
        .sorted((a, b) -> compareIds(a, b))
        .forEach(r -> assignments.add(toState(r.stored(), nowNanos)));
    for (AssignmentState state : assignments) {
      if (state.isHolding()) {
        state.assignment().members().forEach(m -> known.put(m.id(), m));
        state.assignment().members().forEach(m -> held.add(m.id()));
      }
    }
    return view.toState(known, held, quarantineEnds.keySet(), assignments, nowNanos);
  }

  private static int compareIds(VersionedAssignment a, VersionedAssignment b) {
    return a.stored().assignment().id().compareTo(b.stored().assignment().id());
  }

  private AssignmentState toState(StoredAssignment stored, long nowNanos) {
    Assignment assignment = stored.assignment();
    Set<InstanceId> ready = new HashSet<>();
    Set<InstanceId> loading = new HashSet<>();
    for (InstanceRecord member : assignment.members()) {
      if (view.isReady(assignment, member.id())) {
        ready.add(member.id());
      } else if (view.isRunning(assignment, member.id()) || isLoadAhead(member.id())) {
        loading.add(member.id());
      }
    }
    Long down = downSince.get(assignment.id());
    return new AssignmentState(
        assignment,
        stored.model(),
        stored.phase(),
        ready,
        loading,
        down == null ? OptionalLong.empty() : OptionalLong.of(down));
  }

  private boolean isLoadAhead(InstanceId member) {
    Long accepted = loadAccepted.get(member);
    return ordering.contains(member) || accepted != null && view.isOlderThan(member, accepted);
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

  private static CoordinatorAction newUnload(InstanceRecord instance, long fence) {
    return new CoordinatorAction.Order(instance, Optional.empty(), 0, fence, "", List.of());
  }

  private static Set<InstanceId> toIds(List<InstanceRecord> members) {
    return new HashSet<>(members.stream().map(InstanceRecord::id).toList());
  }
}
