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
 * Decides which orders the engines of one service in one zone get.
 *
 * <p>It learns all that it knows from the engines' own reports, so a coordinator that takes over
 * needs nothing from its predecessor. Three rules keep each engine in one replica and each replica
 * whole. A replica is told to serve only after every member reported ready in this generation. An
 * engine is taken from a replica only after the replica's head reported that it left, or, if the
 * head is lost, after the engine itself did, which stops a head that lives on unseen. Each order
 * names the number of orders that the engine began before it, so an order that was delayed takes no
 * effect after a newer one.
 *
 * <p>Not thread safe; belongs to the control thread.
 */
public final class FormationPlanner {

  private final FormationSettings settings;
  private final EngineProfile profile;
  private final LoadBudget loads;
  private final FormationState state;
  private final ReplicaMaintainer maintainer;
  private final ReplicaAllocator allocator;
  private long lastNewNanos;
  private boolean isFenced;

  /**
   * Creates a planner for one term of a coordinator.
   *
   * @param settings the times and limits, not null
   * @param profile the engines and models of the service, not null
   * @param epoch the epoch of the coordinator's lease, which is the fencing token
   * @param generations the generations of this process, not null
   * @param isFirst whether no coordinator came before, so that no loads can have begun
   * @param nowNanos the reading of the monotonic clock
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
    this.lastNewNanos = nowNanos;
    this.loads = new LoadBudget(settings.loadWindow());
    generations.begin(epoch);
    this.state = new FormationState(profile, generations);
    this.maintainer = new ReplicaMaintainer(settings, state);
    this.allocator = new ReplicaAllocator(settings, state, maintainer, loads);
    double window = settings.loadWindow().toNanos() / 1e9;
    loads.setLimit((int) (profile.loadsPerSecond() * window * settings.loadShare()));
    if (!isFirst) {
      loads.fill(nowNanos);
    }
  }

  /**
   * Says whether loads are free, as before the first request of the deployment.
   *
   * @param isFree whether loads are not counted
   */
  public void setLoadsFree(boolean isFree) {
    loads.setUnlimited(isFree);
  }

  /**
   * Takes in how many replicas of each model serve in other zones, which serve this zone's callers
   * too.
   *
   * @param replicas the numbers by model, not null
   */
  public void setReplicasElsewhere(Map<String, Integer> replicas) {
    allocator.setReplicasElsewhere(replicas);
  }

  /**
   * Takes in the engines that the registry lists.
   *
   * @param listed the engines of the service in the zone, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onTargets(List<Target> listed, long nowNanos) {
    Set<InstanceId> ids = new HashSet<>();
    for (Target target : listed) {
      ids.add(target.id());
      Optional<EngineState> known = state.getEngine(target.id());
      if (known.isEmpty()) {
        state.add(target);
        lastNewNanos = nowNanos;
        continue;
      }
      EngineState engine = known.get();
      boolean isNews = !engine.getTarget().equals(target) || !engine.isListed();
      engine.setTarget(target);
      if (isNews && !target.membership().equals(engine.getMembership())) {
        engine.requestReport();
      }
    }
    state.getEngines().stream()
        .filter(e -> !ids.contains(e.getTarget().id()))
        .forEach(EngineState::setUnlisted);
  }

  /**
   * Gets the engines that should be asked for a report now, and marks them as asked.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the engines, never null
   */
  public List<Target> takeDueReports(long nowNanos) {
    List<Target> due = new ArrayList<>();
    for (EngineState engine : state.getEngines()) {
      if (engine.isReportDue(getInterval(engine), nowNanos)) {
        engine.onAsked(nowNanos);
        due.add(engine.getTarget());
      }
    }
    return due;
  }

  private Duration getInterval(EngineState engine) {
    Optional<Membership> membership = engine.getMembership();
    boolean isReadySpare =
        membership
            .filter(m -> ReplicaNameUtils.isSpare(m.replica()))
            .filter(m -> m.phase() == MembershipPhase.READY)
            .isPresent();
    if (membership.isEmpty() || engine.isLost() || isReadySpare) {
      return settings.spareInterval();
    }
    boolean isSteady =
        state
            .findReplica(engine)
            .filter(r -> r.getStage() == ReplicaState.Stage.SERVING)
            .isPresent();
    boolean isHeadOpening =
        membership.get().isHead() && membership.get().phase() != MembershipPhase.OPEN;
    return isSteady && !isHeadOpening ? settings.openInterval() : settings.formingInterval();
  }

  /**
   * Takes in a report.
   *
   * @param id the engine, not null
   * @param report the report, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onReport(InstanceId id, EngineReport report, long nowNanos) {
    EngineState engine = state.getEngine(id).orElse(null);
    if (engine == null) {
      return;
    }
    engine.onReport(report);
    report.membership().ifPresent(m -> state.onMembership(id, m, nowNanos));
  }

  /**
   * Takes in that an engine gave no report.
   *
   * @param id the engine, not null
   */
  public void onNoReport(InstanceId id) {
    EngineState engine = state.getEngine(id).orElse(null);
    if (engine != null) {
      engine.onNoReport();
    }
  }

  /**
   * Asks all members of a replica for reports at once, as when its head stands still.
   *
   * @param id the head, not null
   */
  public void onStalled(InstanceId id) {
    for (ReplicaState replica : state.getReplicas()) {
      if (replica.isLive() && id.equals(replica.getHead())) {
        replica.getMembers().stream()
            .map(state::getEngine)
            .flatMap(Optional::stream)
            .forEach(EngineState::suspect);
      }
    }
  }

  /**
   * Takes in the answer to an order.
   *
   * @param id the engine, not null
   * @param order the order, not null
   * @param reply the answer, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onOrdered(InstanceId id, EngineOrder order, OrderReply reply, long nowNanos) {
    if (reply == OrderReply.FENCED) {
      isFenced = true;
    }
    state
        .getEngine(id)
        .ifPresent(e -> e.onOrderAnswered(order, reply, nowNanos, profile.reportLag()));
  }

  /**
   * Tests whether an engine refused an order because a newer coordinator gave it orders.
   *
   * @return true if the term of this coordinator is over
   */
  public boolean isFenced() {
    return isFenced;
  }

  /**
   * Plans the orders to give now; each engine gets at most one, and none while one is on its way.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the orders, never null
   */
  public List<FormationOrder> plan(long nowNanos) {
    if (isFenced) {
      return List.of();
    }
    OrderBatch orders = new OrderBatch();
    state.getReplicas().forEach(r -> maintainer.advance(r, nowNanos, orders));
    state.clean();
    allocator.form(isSettled(nowNanos), nowNanos, orders);
    for (FormationOrder order : orders.getOrders()) {
      state.getEngine(order.target().id()).ifPresent(EngineState::onOrderSent);
    }
    return orders.getOrders();
  }

  /** Tests whether the list of engines has settled, so that what is free is known. */
  private boolean isSettled(long nowNanos) {
    boolean isQuiet = nowNanos - lastNewNanos > settings.patience().toNanos();
    return isQuiet && state.areAllReported();
  }
}
