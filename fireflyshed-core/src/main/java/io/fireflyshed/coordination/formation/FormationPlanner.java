package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Plans the orders for the engines of one service in one zone.
 *
 * <p>The planner derives its state only from the reports of the engines, so a new coordinator needs
 * nothing from its predecessor. Three rules keep each engine in at most one replica and each
 * serving replica complete:
 *
 * <ul>
 *   <li>A replica is opened only after every member reported ready in the same generation.
 *   <li>An engine is taken from a replica only after the head reported that it left. If the head is
 *       lost, the engine itself must report that it left, which stops a head that is still running
 *       but can't be reached.
 *   <li>Each order names the number of orders that the engine began before it, so an order that was
 *       delayed takes no effect after a newer one.
 * </ul>
 *
 * <p>Not thread safe; used on the control thread only.
 */
public final class FormationPlanner {

  /** The ratio of the time that a member has been waiting to the interval between its reports. */
  private static final int WAITS_PER_REPORT_INTERVAL = 8;

  /** The longest time for which engines that are added one after the other are waited for. */
  private static final Duration MAX_UNSETTLED_TIME = Duration.ofSeconds(3);

  private final FormationSettings settings;
  private final EngineProfile profile;
  private final LoadBudget loadBudget;
  private final FormationState state;
  private final ReplicaMaintainer maintainer;
  private final ReplicaAllocator allocator;
  private final CutDetector cutDetector = new CutDetector();
  private final long beginNanos;

  /** Whether the loads that a predecessor may have begun still count as many as are allowed. */
  private boolean isLoadHistoryUnknown;

  private long lastAddedNanos;

  /** The time since which engines have been added without a pause. */
  private long firstAddedNanos;

  private boolean isFenced;

  /**
   * Creates a planner for one term of a coordinator.
   *
   * @param settings the intervals and limits, not null
   * @param profile the engines and models of the service, not null
   * @param epoch the epoch of the coordinator's lease, which serves as the fencing token
   * @param generations the generation counter of this process, not null
   * @param isFirst whether no coordinator preceded this one, so that no loads can have begun
   * @param nowNanos the current time of the monotonic clock
   */
  public FormationPlanner(
      FormationSettings settings,
      EngineProfile profile,
      long epoch,
      GenerationCounter generations,
      boolean isFirst,
      long nowNanos) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.profile = Objects.requireNonNull(profile, "profile");
    this.lastAddedNanos = nowNanos;
    this.firstAddedNanos = nowNanos;
    this.beginNanos = nowNanos;
    this.loadBudget = new LoadBudget(settings.loadWindow());
    generations.beginEpoch(epoch);
    this.state = new FormationState(profile, generations);
    this.maintainer = new ReplicaMaintainer(settings, state);
    this.allocator = new ReplicaAllocator(settings, state, maintainer, loadBudget);
    double windowSeconds = settings.loadWindow().toNanos() / 1e9;
    loadBudget.setLimit((int) (profile.loadsPerSecond() * windowSeconds * settings.loadShare()));
    if (!isFirst) {
      loadBudget.fill(nowNanos);
      isLoadHistoryUnknown =
          profile.models().stream().allMatch(m -> m.load().compareTo(settings.loadWindow()) > 0);
    }
  }

  /**
   * Sets whether the limit on weight loads is lifted, as before the first request of the
   * deployment.
   *
   * @param isUnlimited whether any number of loads may begin
   */
  public void setLoadsUnlimited(boolean isUnlimited) {
    loadBudget.setUnlimited(isUnlimited);
  }

  /**
   * Sets the numbers of replicas that serve in other zones. They serve the callers of this zone
   * too, so they count when models compete for engines.
   *
   * @param replicas the numbers by model, not null
   */
  public void setReplicasInOtherZones(Map<String, Integer> replicas) {
    allocator.setReplicasInOtherZones(replicas);
  }

  /**
   * Sets how many zones may give up replicas by usage before this one. Zones decide by the same
   * usage at the same time, so that each leaves to those before it what they may give.
   *
   * @param zones the number of these zones that have replicas, by model, not null
   */
  public void setZonesBefore(Map<String, Integer> zones) {
    allocator.setZonesBefore(zones);
  }

  /**
   * Records how busy the replicas of the models are in all zones.
   *
   * @param busyReplicas the requests that run or wait at replicas, divided by the slots of a
   *     replica, by model, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void recordUsage(Map<String, Double> busyReplicas, long nowNanos) {
    allocator.recordUsage(busyReplicas, nowNanos);
  }

  /**
   * Updates the engines from the registry.
   *
   * @param listed the engines of the service in the zone that the registry lists, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void updateTargets(List<Target> listed, long nowNanos) {
    Set<InstanceId> ids = new HashSet<>();
    for (Target target : listed) {
      ids.add(target.id());
      Optional<EngineState> known = state.getEngine(target.id());
      if (known.isEmpty()) {
        state.add(target);
        recordAddition(nowNanos);
        continue;
      }
      EngineState engine = known.get();
      boolean isChanged = !engine.getTarget().equals(target) || !engine.isListed();
      boolean isRestarted = engine.getTarget().startMillis() != target.startMillis();
      if (isRestarted || !engine.isListed()) {
        engine.recordReturn(nowNanos);
        recordAddition(nowNanos);
      }
      engine.setTarget(target);
      if (isChanged && !target.membership().equals(engine.getMembership())) {
        engine.markReportDue();
      }
    }
    state.getEngines().stream()
        .filter(e -> !ids.contains(e.getTarget().id()))
        .forEach(EngineState::markUnlisted);
  }

  /**
   * Forgets all replicas and what is known of the engines, and starts from fresh reports as at the
   * begin of a term. Called when the coordinator could not reach the engines for a while.
   *
   * @param nowNanos the current time of the monotonic clock
   */
  public void forget(long nowNanos) {
    state.forget();
    recordAddition(nowNanos);
  }

  /**
   * Returns the engines whose next report is due and marks their reports as requested.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the engines to request a report from, never null
   */
  public List<Target> pollDueReports(long nowNanos) {
    List<Target> due = new ArrayList<>();
    for (EngineState engine : state.getEngines()) {
      if (engine.isReportDue(getReportInterval(engine, nowNanos), nowNanos)) {
        engine.recordReportRequest(nowNanos);
        due.add(engine.getTarget());
      }
    }
    return due;
  }

  private Duration getReportInterval(EngineState engine, long nowNanos) {
    Optional<Membership> membership = engine.getMembership();
    boolean isReadySpare =
        membership
            .filter(m -> ReplicaNameUtils.isSpare(m.replica()))
            .filter(m -> m.phase() == MembershipPhase.READY)
            .isPresent();
    if (engine.isLost() && engine.hasReturnedWithin(MAX_UNSETTLED_TIME, nowNanos)) {
      return settings.formingReportInterval();
    }
    if (membership.isEmpty() || engine.isLost() || isReadySpare) {
      return settings.idleReportInterval();
    }
    if (isWaiting(engine, membership.get(), nowNanos)) {
      return getWaitingReportInterval(nowNanos - engine.getMembershipNanos());
    }
    boolean isServing =
        state
            .findReplica(engine)
            .filter(r -> r.getStage() == ReplicaState.Stage.SERVING)
            .isPresent();
    boolean isHeadOpening =
        membership.get().isHead() && membership.get().phase() != MembershipPhase.OPEN;
    return isServing && !isHeadOpening
        ? settings.servingReportInterval()
        : settings.formingReportInterval();
  }

  /** Tests whether a member loads weights, or waits for other members that do. */
  private boolean isWaiting(EngineState engine, Membership membership, long nowNanos) {
    boolean isFormingReplica =
        state
            .findReplica(engine)
            .filter(r -> r.getStage() == ReplicaState.Stage.FORMING)
            .filter(r -> !maintainer.isOpening(r, nowNanos))
            .isPresent();
    return membership.phase() == MembershipPhase.JOINING
        || membership.phase() == MembershipPhase.READY && isFormingReplica;
  }

  /**
   * Returns an interval in proportion to the time that a member has been waiting, since loads take
   * many seconds. The registry, too, shows that a member is ready.
   */
  private Duration getWaitingReportInterval(long waitingNanos) {
    long shortest = settings.formingReportInterval().toNanos();
    long longest = settings.servingReportInterval().toNanos();
    long interval = waitingNanos / WAITS_PER_REPORT_INTERVAL;
    return Duration.ofNanos(Math.max(shortest, Math.min(longest, interval)));
  }

  /**
   * Records a report of an engine; a report of an unknown engine is ignored.
   *
   * @param id the engine, not null
   * @param report the report, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void recordReport(InstanceId id, EngineReport report, long nowNanos) {
    EngineState engine = state.getEngine(id).orElse(null);
    if (engine == null) {
      return;
    }
    recordSignOfLife(id, nowNanos);
    engine.recordReport(report);
    report.membership().ifPresent(m -> state.recordMembership(id, m, nowNanos));
  }

  private void recordSignOfLife(InstanceId id, long nowNanos) {
    List<InstanceId> unanswered = cutDetector.getUnanswered();
    switch (cutDetector.recordReply(id, nowNanos)) {
      case CUT -> forget(nowNanos);
      // The failures may still have been those of the coordinator's own connection.
      case PAUSE -> unanswered.forEach(e -> state.getEngine(e).ifPresent(EngineState::doubtLoss));
      case NONE -> {}
      default -> throw new IllegalStateException("unknown interruption");
    }
  }

  /**
   * Records that an engine failed to reply. After the first such failure, all engines are asked, so
   * that their replies or failures tell a cut of the coordinator from the loss of some engines.
   */
  private void recordNoReply(InstanceId id) {
    if (cutDetector.recordFailure(id)) {
      state.getEngines().forEach(EngineState::markReportDue);
    }
  }

  /**
   * Records that a report request got no reply in time.
   *
   * @param id the engine, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void recordReportTimeout(InstanceId id, long nowNanos) {
    EngineState engine = state.getEngine(id).orElse(null);
    if (engine != null) {
      engine.recordReportTimeout(nowNanos);
      recordNoReply(id);
    }
  }

  /**
   * Records that a report request was refused or got a reply that is no report of the engine.
   *
   * @param id the engine, not null
   */
  public void recordReportFailure(InstanceId id) {
    EngineState engine = state.getEngine(id).orElse(null);
    if (engine != null) {
      engine.recordReportFailure();
      recordNoReply(id);
    }
  }

  /**
   * Marks all members of a live replica as suspect, so that their reports are requested at once.
   * Called when the streams of the replica stall.
   *
   * @param id the head of the replica, not null
   */
  public void suspectReplica(InstanceId id) {
    getLiveMembers(id).forEach(EngineState::markSuspect);
  }

  /**
   * Requests the reports of all members of a replica at once, whose streams have no events. A
   * member that gives none is lost sooner than one of a replica that serves.
   *
   * @param id the head of the replica, not null
   * @param sinceNanos the time since which the replica is silent
   * @param nowNanos the current time of the monotonic clock
   */
  public void recordSilence(InstanceId id, long sinceNanos, long nowNanos) {
    getLiveMembers(id).forEach(e -> e.recordReplicaSilence(sinceNanos, nowNanos));
  }

  /** Returns the members of the live replica with a head. */
  private List<EngineState> getLiveMembers(InstanceId head) {
    return state.getReplicas().stream()
        .filter(r -> r.isLive() && head.equals(r.getHead()))
        .flatMap(r -> r.getMembers().stream())
        .map(state::getEngine)
        .flatMap(Optional::stream)
        .toList();
  }

  /**
   * Records the reply to an order.
   *
   * @param id the engine, not null
   * @param order the order, not null
   * @param reply the reply, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public void recordOrderReply(InstanceId id, EngineOrder order, OrderReply reply, long nowNanos) {
    if (reply == OrderReply.FENCED) {
      isFenced = true;
    }
    state
        .getEngine(id)
        .ifPresent(e -> e.recordOrderReply(order, reply, nowNanos, profile.reportLag()));
  }

  /**
   * Tests whether an engine rejected an order because a newer coordinator had sent it one.
   *
   * @return true if the term of this coordinator is over
   */
  public boolean isFenced() {
    return isFenced;
  }

  /**
   * Plans the orders to send now. An engine gets at most one order, and none while one is pending.
   * Nothing is planned while several engines failed to reply and none has replied since, as when
   * the coordinator itself is cut off.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the orders, never null
   */
  public List<FormationOrder> plan(long nowNanos) {
    if (isFenced || cutDetector.isCutOff(state.getEngines().size(), nowNanos)) {
      return List.of();
    }
    OrderBatch orders = new OrderBatch();
    state.getReplicas().forEach(r -> maintainer.advance(r, nowNanos, orders));
    state.removeFinished();
    cutDetector.retain(state.getEngineIds());
    boolean isSettled = isEngineListSettled(nowNanos);
    if (isSettled && isLoadHistoryUnknown) {
      isLoadHistoryUnknown = false;
      loadBudget.limitFill(countPossibleLoads(), beginNanos);
    }
    allocator.formReplicas(isSettled, nowNanos, orders);
    for (FormationOrder order : orders.getOrders()) {
      state.getEngine(order.target().id()).ifPresent(EngineState::recordOrderSent);
    }
    return orders.getOrders();
  }

  /**
   * Counts the engines that may have begun a load shortly before this term. A load takes longer
   * than the window, so it is still under way unless it was interrupted.
   */
  private int countPossibleLoads() {
    return (int) state.getEngines().stream().filter(FormationPlanner::mayLoad).count();
  }

  private static boolean mayLoad(EngineState engine) {
    if (engine.isLost() || !engine.hasReport() || engine.isBusy() || engine.isJoining()) {
      return true;
    }
    return engine.getMembership().isEmpty() && engine.getOrderSequence() > 0;
  }

  private boolean isQuiet(long nowNanos) {
    return nowNanos - lastAddedNanos > settings.quietPeriod().toNanos();
  }

  private void recordAddition(long nowNanos) {
    if (isQuiet(nowNanos)) {
      firstAddedNanos = nowNanos;
    }
    lastAddedNanos = nowNanos;
  }

  /**
   * Tests whether no engine was added or returned for a while, or some have been for too long, and
   * all engines reported or are lost, so that the free engines are known.
   */
  private boolean isEngineListSettled(long nowNanos) {
    boolean isOverdue = nowNanos - firstAddedNanos > MAX_UNSETTLED_TIME.toNanos();
    return (isQuiet(nowNanos) || isOverdue) && state.haveAllReported();
  }
}
