package io.fireflyshed.transport.formation;

import io.fireflyshed.coordination.formation.FormationOrder;
import io.fireflyshed.coordination.formation.FormationPlanner;
import io.fireflyshed.coordination.formation.FormationSettings;
import io.fireflyshed.coordination.formation.GenerationCounter;
import io.fireflyshed.coordination.lease.LeaseAction;
import io.fireflyshed.coordination.lease.LeaseGrant;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.EngineControl;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.transport.control.LeaseStore;
import io.fireflyshed.transport.log.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Holds the lease of the zone's coordinator if no other entry does, and runs a planner for each
 * model service while it holds it.
 *
 * <p>An order is sent only under a valid grant and carries its epoch as the fencing token. All
 * steps run on the control thread.
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
  private final BooleanSupplier areLoadsFree;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;
  private final EventLog log = new EventLog("formation");
  private final Map<ServiceName, FormationPlanner> planners = new HashMap<>();
  private final GenerationCounter generations = new GenerationCounter();
  private Optional<LeaseGrant> grant = Optional.empty();

  /**
   * Creates a controller.
   *
   * @param zone the zone, not null
   * @param lease decides when to take the lease, not null
   * @param store keeps the lease, not null
   * @param engines talks to engines, not null
   * @param targets lists all known targets, on the control thread, not null
   * @param configuration gets the newest configuration, not null
   * @param settings the times and limits, not null
   * @param areLoadsFree tells whether no request has come yet after a first start, not null
   * @param control the control thread, not null
   * @param clock the clock of this process, which counts suspensions, not null
   */
  public FormationController(
      AvailabilityZone zone,
      ZoneLease lease,
      LeaseStore store,
      EngineControl engines,
      Supplier<List<Target>> targets,
      Supplier<Optional<TrafficConfiguration>> configuration,
      FormationSettings settings,
      BooleanSupplier areLoadsFree,
      ScheduledExecutorService control,
      MonotonicClock clock) {
    this.zone = zone;
    this.lease = lease;
    this.store = store;
    this.engines = engines;
    this.targets = targets;
    this.configuration = configuration;
    this.settings = settings;
    this.areLoadsFree = areLoadsFree;
    this.control = control;
    this.clock = clock;
  }

  /** Starts to run. */
  public void start() {
    control.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes in that the streams of a target stand still.
   *
   * @param target the target, not null
   */
  public void onStalled(InstanceId target) {
    control.execute(() -> planners.values().forEach(p -> p.onStalled(target)));
  }

  /**
   * Gives the lease up, as at shutdown.
   *
   * @return a future that completes when the lease is given up or could not be handed over
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
          store
              .commit(action.get())
              .whenComplete(
                  (result, error) -> {
                    log.info("lease released", "zone", zone, "error", String.valueOf(error));
                    released.complete(null);
                  });
        });
    return released;
  }

  private void tick() {
    try {
      long now = clock.nanoTime();
      lease.next(now).ifPresent(this::perform);
      updateGrant(now);
      if (grant.isPresent()) {
        coordinate(now);
      }
    } catch (RuntimeException e) {
      log.error("step failed", e);
    }
  }

  private void perform(LeaseAction action) {
    if (action instanceof LeaseAction.Read) {
      store
          .read()
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
                lease.onCommitted(clock.nanoTime());
              } else {
                lease.onConflict(clock.nanoTime());
              }
            },
            control);
  }

  private void updateGrant(long now) {
    Optional<LeaseGrant> held = lease.getGrant(now);
    boolean isNew =
        held.isPresent() && grant.map(g -> g.epoch() != held.get().epoch()).orElse(true);
    if (isNew) {
      log.info("coordinates", "zone", zone, "epoch", held.get().epoch());
      planners.clear();
    } else if (held.isEmpty() && grant.isPresent()) {
      log.warn("coordinates no more", "zone", zone, "epoch", grant.get().epoch());
      planners.clear();
    }
    grant = held;
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
                    areLoadsFree.getAsBoolean(),
                    now));
    List<Target> own = new ArrayList<>();
    Map<String, Integer> elsewhere = new HashMap<>();
    for (Target target : targets.get()) {
      if (!target.service().equals(service)) {
        continue;
      }
      if (target.zone().equals(zone)) {
        own.add(target);
      } else if (target.isOpenHead()) {
        elsewhere.merge(target.membership().orElseThrow().getModel(), 1, Integer::sum);
      }
    }
    planner.setReplicasElsewhere(elsewhere);
    planner.onTargets(own, now);
    planner.setLoadsFree(areLoadsFree.getAsBoolean());
    planner.takeDueReports(now).forEach(t -> ask(planner, t));
    planner.plan(now).forEach(o -> give(planner, o));
    if (planner.isFenced()) {
      log.warn("fenced off by a newer coordinator", "zone", zone, "epoch", grant.get().epoch());
      lease.onConflict(now);
      updateGrant(now);
    }
  }

  private void ask(FormationPlanner planner, Target target) {
    engines
        .report(target)
        .whenCompleteAsync((report, error) -> onReport(planner, target, report, error), control);
  }

  private void onReport(
      FormationPlanner planner, Target target, EngineReport report, Throwable error) {
    if (error == null) {
      planner.onReport(target.id(), report, clock.nanoTime());
    } else {
      log.info("no report", "target", target.id(), "error", error.getMessage());
      planner.onNoReport(target.id());
    }
  }

  private void give(FormationPlanner planner, FormationOrder order) {
    long epoch = grant.orElseThrow().epoch();
    engines
        .order(order.target(), order.order(), epoch, order.orderSequence())
        .whenCompleteAsync((reply, error) -> onOrdered(planner, order, reply, epoch), control);
  }

  private void onOrdered(
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
    planner.onOrdered(order.target().id(), order.order(), reply, clock.nanoTime());
  }
}
