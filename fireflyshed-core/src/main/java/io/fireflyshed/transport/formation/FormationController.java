package io.fireflyshed.transport.formation;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.formation.FormationOrder;
import io.fireflyshed.coordination.formation.FormationPlanner;
import io.fireflyshed.coordination.formation.FormationSettings;
import io.fireflyshed.coordination.formation.GenerationCounter;
import io.fireflyshed.coordination.formation.UsageMeter;
import io.fireflyshed.coordination.lease.LeaseAction;
import io.fireflyshed.coordination.lease.LeaseGrant;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.EngineControl;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.transport.control.LeaseStore;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Acquires the lease of the zone's coordinator if no other entry holds it, and runs a planner for
 * each model service while it holds the lease.
 *
 * <p>An order is sent only under a valid grant and carries the grant's epoch as the fencing token.
 * All steps run on the control thread.
 */
public final class FormationController {

  private static final long TICK_MILLIS = 50;

  private final AvailabilityZone zone;
  private final ZoneLease lease;
  private final LeaseStore store;
  private final EngineControl engines;
  private final Supplier<List<Target>> targets;
  private final Supplier<Optional<TrafficConfiguration>> configuration;
  private final FormationSettings settings;
  private final BooleanSupplier areLoadsUnlimited;
  private final BooleanSupplier isCutOff;
  private final EvacuatedZones evacuated;
  private final Supplier<Optional<FleetLoad>> fleetLoad;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final EventLog log = new EventLog("formation");
  private final Map<ServiceName, FormationPlanner> planners = new HashMap<>();
  private final GenerationCounter generations = new GenerationCounter();
  private final Set<CompletableFuture<OrderReply>> pendingOrders = new HashSet<>();
  private Optional<LeaseGrant> grant = Optional.empty();
  private final AtomicLong raisedEpochs = new AtomicLong();
  private boolean wasPaused;

  /**
   * Creates a controller.
   *
   * @param zone the zone, not null
   * @param lease decides when to acquire and renew the lease, not null
   * @param store stores the lease, not null
   * @param engines requests reports from engines and sends them orders, not null
   * @param targets supplies all known targets; called on the control thread, not null
   * @param configuration supplies the latest configuration, not null
   * @param settings the intervals and limits of formation, not null
   * @param areLoadsUnlimited whether no request has arrived yet since the first start, not null
   * @param isCutOff whether this entry probably reaches no or few engines, so that their failures
   *     show nothing; called on the control thread, not null
   * @param evacuated the zones whose engines must get no orders, not null
   * @param fleetLoad supplies the load that all entries put on targets, by which engines are
   *     allocated; empty if it isn't known or they are allocated by the configured shares of the
   *     models; called on the control thread, not null
   * @param control the control thread, not null
   * @param clock the clock of this process, which includes suspended time, not null
   */
  public FormationController(
      AvailabilityZone zone,
      ZoneLease lease,
      LeaseStore store,
      EngineControl engines,
      Supplier<List<Target>> targets,
      Supplier<Optional<TrafficConfiguration>> configuration,
      FormationSettings settings,
      BooleanSupplier areLoadsUnlimited,
      BooleanSupplier isCutOff,
      EvacuatedZones evacuated,
      Supplier<Optional<FleetLoad>> fleetLoad,
      ScheduledExecutorService control,
      MonotonicClock clock) {
    this.zone = zone;
    this.lease = lease;
    this.store = store;
    this.engines = engines;
    this.targets = targets;
    this.configuration = configuration;
    this.settings = settings;
    this.areLoadsUnlimited = areLoadsUnlimited;
    this.isCutOff = isCutOff;
    this.evacuated = evacuated;
    this.fleetLoad = fleetLoad;
    this.control = control;
    this.clock = clock;
  }

  /** Schedules the steps on the control thread. */
  public void start() {
    control.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Requests reports from all members of the replica whose head is a target with stalled streams.
   * Does nothing while this entry is cut off.
   *
   * @param target the target, not null
   */
  public void onStalled(InstanceId target) {
    control.execute(
        () -> {
          if (!isCutOff.getAsBoolean()) {
            planners.values().forEach(p -> p.suspectReplica(target));
          }
        });
  }

  /**
   * Requests reports from all members of replicas whose streams have no events at any entry. Does
   * nothing while this entry is cut off.
   *
   * @param heads the heads of the replicas, not null
   * @param silence the time for which they have had none, not null
   */
  public void onSilent(Set<InstanceId> heads, Duration silence) {
    control.execute(
        () -> {
          long now = clock.nanoTime();
          if (!isCutOff.getAsBoolean()) {
            heads.forEach(
                head ->
                    planners
                        .values()
                        .forEach(p -> p.recordSilence(head, now - silence.toNanos(), now)));
          }
        });
  }

  /**
   * Releases the lease, as at shutdown, once all orders have their replies. A successor then finds
   * their effects in the engines' reports.
   *
   * @return a future that completes normally once the release was committed or has failed
   */
  public CompletableFuture<Void> release() {
    CompletableFuture<Void> released = new CompletableFuture<>();
    control.execute(
        () -> {
          planners.clear();
          Optional<LeaseAction> action = lease.release(clock.nanoTime());
          if (action.isEmpty()) {
            released.complete(null);
            return;
          }
          CompletableFuture.allOf(pendingOrders.toArray(CompletableFuture[]::new))
              .handle((replies, error) -> action.get())
              .thenCompose(store::commit)
              .whenComplete(
                  (result, error) -> {
                    log.info(
                        "lease release finished", "zone", zone, "error", String.valueOf(error));
                    released.complete(null);
                  });
        });
    return released;
  }

  /**
   * Counts the attempts to take over the lease with an epoch above the next one. Thread safe.
   *
   * @return the number since the start of the process
   */
  public long countRaisedEpochs() {
    return raisedEpochs.get();
  }

  private void tick() {
    try {
      long now = clock.nanoTime();
      if (lease.isTakeoverDue(now)) {
        targets.get().forEach(this::recordListedEpoch);
      }
      lease.next(now).ifPresent(this::perform);
      updateGrant(now);
      if (grant.isPresent() && !pauseIfNeeded(now)) {
        coordinate(now);
      }
    } catch (RuntimeException e) {
      log.error("formation step failed", e);
    }
  }

  /** Records the epoch that an engine of the zone shows in the registry. */
  private void recordListedEpoch(Target target) {
    if (target.zone().equals(zone)) {
      target
          .membership()
          .ifPresent(m -> recordEpoch(m, "the registry entry of target " + target.id()));
    }
  }

  private void recordEpoch(Membership membership, String source) {
    long epoch = GenerationCounter.toEpoch(membership.generation());
    lease.onEpochSeen(epoch, source, clock.nanoTime());
  }

  private void perform(LeaseAction action) {
    if (action instanceof LeaseAction.TakeOver takeOver && !takeOver.raiseReasons().isEmpty()) {
      raisedEpochs.incrementAndGet();
      log.warn(
          "epoch raised",
          "zone",
          zone,
          "epoch",
          takeOver.epoch(),
          "reasons",
          String.join("; ", takeOver.raiseReasons()));
    }
    if (action instanceof LeaseAction.Read) {
      (lease.isAttemptPending() ? store.read() : store.watch())
          .whenCompleteAsync(
              (rows, error) -> {
                if (error == null) {
                  lease.onRead(rows, clock.nanoTime());
                } else {
                  lease.onFailure(clock.nanoTime());
                }
              },
              control);
      return;
    }
    store
        .commit(action)
        .whenCompleteAsync(
            (result, error) -> {
              if (error != null) {
                lease.onFailure(clock.nanoTime());
              } else if (result.isCommitted()) {
                lease.onCommitted(result.restoreCount(), clock.nanoTime());
              } else {
                lease.onConflict(clock.nanoTime());
              }
            },
            control);
  }

  private void updateGrant(long now) {
    Optional<LeaseGrant> held = lease.getGrant(now);
    boolean isNewTerm =
        held.isPresent() && grant.map(g -> g.epoch() != held.get().epoch()).orElse(true);
    if (isNewTerm) {
      log.info("became coordinator", "zone", zone, "epoch", held.get().epoch());
      planners.clear();
    } else if (held.isEmpty() && grant.isPresent()) {
      log.warn("no longer coordinator", "zone", zone, "epoch", grant.get().epoch());
      planners.clear();
    }
    grant = held;
  }

  /**
   * Tests whether coordination must pause since this entry is cut off or the zone is evacuated.
   * After the pause, the planners start from fresh reports, since the failures before and during it
   * may be the entry's own.
   */
  private boolean pauseIfNeeded(long now) {
    boolean isEvacuated = evacuated.contains(zone);
    boolean isPaused = isEvacuated || isCutOff.getAsBoolean();
    if (isPaused && !wasPaused) {
      log.warn(
          "coordination pauses", "zone", zone, "reason", isEvacuated ? "evacuated" : "cut off");
    } else if (!isPaused && wasPaused) {
      log.info("coordination goes on", "zone", zone);
      planners.values().forEach(p -> p.forget(now));
    }
    wasPaused = isPaused;
    return isPaused;
  }

  private void coordinate(long now) {
    for (ServiceProfile service :
        configuration.get().map(c -> c.services().values()).orElse(List.of())) {
      service.engine().ifPresent(e -> coordinate(service.name(), e, now));
    }
  }

  private void coordinate(ServiceName service, EngineProfile profile, long now) {
    FormationPlanner planner =
        planners.computeIfAbsent(
            service,
            s ->
                new FormationPlanner(
                    settings,
                    profile,
                    grant.get().epoch(),
                    generations,
                    areLoadsUnlimited.getAsBoolean(),
                    now));
    List<Target> zoneTargets = new ArrayList<>();
    List<Target> heads = new ArrayList<>();
    Map<String, Integer> replicasInOtherZones = new HashMap<>();
    for (Target target : targets.get()) {
      if (!target.service().equals(service)) {
        continue;
      }
      if (target.isOpenHead() && !evacuated.contains(target.zone())) {
        heads.add(target);
      }
      if (target.zone().equals(zone)) {
        zoneTargets.add(target);
      } else if (target.isOpenHead() && !evacuated.contains(target.zone())) {
        replicasInOtherZones.merge(target.membership().orElseThrow().getModel(), 1, Integer::sum);
      }
    }
    planner.setReplicasInOtherZones(replicasInOtherZones);
    planner.setZonesBefore(UsageMeter.countZonesBefore(heads, zone));
    fleetLoad
        .get()
        .map(load -> UsageMeter.getBusyReplicas(profile, heads, load))
        .ifPresent(busy -> planner.recordUsage(busy, now));
    planner.updateTargets(zoneTargets, now);
    planner.setLoadsUnlimited(areLoadsUnlimited.getAsBoolean());
    planner.pollDueReports(now).forEach(t -> requestReport(planner, t));
    planner.plan(now).forEach(o -> sendOrder(planner, o));
    if (planner.isFenced()) {
      log.warn("fenced by a newer coordinator", "zone", zone, "epoch", grant.get().epoch());
      lease.onConflict(now);
      updateGrant(now);
    }
  }

  private void requestReport(FormationPlanner planner, Target target) {
    engines
        .report(target)
        .whenCompleteAsync(
            (report, error) -> handleReport(planner, target, report, error), control);
  }

  private void handleReport(
      FormationPlanner planner, Target target, EngineReport report, Throwable error) {
    if (error == null) {
      report.membership().ifPresent(m -> recordEpoch(m, "a report of target " + target.id()));
      planner.recordReport(target.id(), report, clock.nanoTime());
    } else {
      log.info("report request failed", "target", target.id(), "error", error.getMessage());
      if (isTimeout(error)) {
        planner.recordReportTimeout(target.id(), clock.nanoTime());
      } else {
        planner.recordReportFailure(target.id());
      }
    }
  }

  /** Tests whether a request got no reply in time, rather than a refusal or a malformed reply. */
  private static boolean isTimeout(Throwable error) {
    Throwable cause = error;
    while (cause != null && !(cause instanceof TimeoutException)) {
      cause = cause.getCause();
    }
    return cause != null;
  }

  private void sendOrder(FormationPlanner planner, FormationOrder order) {
    long epoch = grant.orElseThrow().epoch();
    // The process may have been suspended since the pass began.
    if (lease.getGrant(clock.nanoTime()).isEmpty()) {
      log.warn("order not sent, the lease has expired", "target", order.target().id());
      return;
    }
    CompletableFuture<OrderReply> pending =
        engines.order(order.target(), order.order(), epoch, order.orderSequence());
    pendingOrders.add(pending);
    pending.whenCompleteAsync(
        (reply, error) -> {
          pendingOrders.remove(pending);
          handleOrderReply(planner, order, reply, epoch);
        },
        control);
  }

  private void handleOrderReply(
      FormationPlanner planner, FormationOrder order, OrderReply reply, long epoch) {
    log.info(
        "ordered",
        "target",
        order.target().id(),
        "order",
        order.order(),
        "reason",
        order.reason(),
        "epoch",
        epoch,
        "sequence",
        order.orderSequence(),
        "reply",
        reply);
    planner.recordOrderReply(order.target().id(), order.order(), reply, clock.nanoTime());
  }
}
