package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.ReplicaFormer;
import io.fireflyshed.coordination.gate.ServingGate;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceList;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control thread: reads the platform, probes members, forms replicas and publishes the
 * serving view.
 *
 * <p>All state but the published view belongs to the control thread. {@link #get()} is thread safe.
 */
public final class ControlLoop implements Supplier<ServingView>, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlLoop.class);
  private static final long ORDER_DEADLINE_MILLIS = 5_000;

  private final ControlSettings settings;
  private final ModelEngine engine;
  private final InstanceList instanceList;
  private final AssignmentStore store;
  private final MonotonicClock clock;
  private final ServingGate gate;
  private final ReplicaFormer former = new ReplicaFormer();
  private final ScheduledExecutorService thread;

  private final Set<InstanceId> probing = new HashSet<>();
  private final Set<InstanceId> ordering = new HashSet<>();
  private List<InstanceRecord> instances = List.of();
  private List<Assignment> assignments = List.of();
  private boolean isRefreshing;
  private volatile List<ModelServiceSpec> services;
  private volatile Set<InstanceId> drained = Set.of();
  private volatile ServingView view = ServingView.ofNothing();

  /**
   * Creates a loop that does nothing until it is started.
   *
   * @param settings the settings, not null
   * @param engine talks to engines, not null
   * @param instanceList the platform's list, not null
   * @param store keeps assignments, not null
   * @param clock the clock of this process, not null
   */
  public ControlLoop(
      ControlSettings settings,
      ModelEngine engine,
      InstanceList instanceList,
      AssignmentStore store,
      MonotonicClock clock) {
    this.settings = settings;
    this.services = settings.services();
    this.engine = engine;
    this.instanceList = instanceList;
    this.store = store;
    this.clock = clock;
    this.gate = new ServingGate(settings.evidenceMaxAge());
    this.thread = Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));
  }

  /** Starts the control thread. */
  public void start() {
    repeat(this::refresh, settings.refreshInterval().toMillis());
    repeat(this::probeAll, settings.probeInterval().toMillis());
  }

  /**
   * Replaces the wanted model services; replicas of services that are gone stop serving.
   *
   * @param services the model services, copied, not null
   */
  public void setServices(List<ModelServiceSpec> services) {
    this.services = List.copyOf(services);
  }

  /**
   * Replaces the instances that an operator drains. Their replicas get no new work, and no replica
   * is formed of them.
   *
   * @param instances the instances, copied, not null
   */
  public void setDrained(Set<InstanceId> instances) {
    drained = Set.copyOf(instances);
  }

  /**
   * Gets the view that was published last.
   *
   * @return the view, never null
   */
  @Override
  public ServingView get() {
    return view;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  private void repeat(Runnable step, long intervalMillis) {
    Runnable guarded =
        () -> {
          try {
            step.run();
          } catch (RuntimeException e) {
            LOG.error("control: step failed", e);
          }
        };
    thread.scheduleWithFixedDelay(guarded, 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void refresh() {
    if (isRefreshing) {
      return;
    }
    isRefreshing = true;
    CompletableFuture<List<InstanceRecord>> listed = instanceList.read();
    CompletableFuture<List<Assignment>> stored = store.read();
    CompletableFuture.allOf(listed, stored)
        .whenCompleteAsync((ignored, error) -> onRefresh(listed, stored, error), thread);
  }

  private void onRefresh(
      CompletableFuture<List<InstanceRecord>> listed,
      CompletableFuture<List<Assignment>> stored,
      Throwable error) {
    isRefreshing = false;
    if (!listed.isCompletedExceptionally()) {
      instances = listed.join();
      instances.stream().filter(InstanceRecord::leaving).forEach(i -> gate.onLeaving(i.id()));
    }
    if (!stored.isCompletedExceptionally()) {
      assignments = stored.join();
    }
    publish();
    if (error != null) {
      LOG.warn("control: platform read failed: {}", error.getMessage());
      return;
    }
    formMissing();
  }

  private void formMissing() {
    List<Assignment> plan =
        former.plan(settings.zone(), services, getUsableInstances(), assignments);
    for (Assignment assignment : plan) {
      store
          .create(assignment)
          .whenComplete(
              (result, error) -> {
                if (error != null) {
                  LOG.warn("control: forming {} failed: {}", assignment.id(), error.getMessage());
                } else if (result.isCommitted()) {
                  LOG.info("control: formed replica {}", assignment.id());
                }
              });
    }
  }

  private List<InstanceRecord> getUsableInstances() {
    Set<InstanceId> excluded = drained;
    return instances.stream().filter(i -> !excluded.contains(i.id())).toList();
  }

  private boolean isDrained(Assignment assignment) {
    return assignment.members().stream().anyMatch(m -> drained.contains(m.id()));
  }

  private void probeAll() {
    for (Assignment assignment : assignments) {
      assignment.members().forEach(m -> probe(assignment, m));
    }
    publish();
  }

  private void probe(Assignment assignment, InstanceRecord member) {
    if (!probing.add(member.id())) {
      return;
    }
    long sentNanos = clock.nanoTime();
    engine
        .probe(member)
        .whenCompleteAsync(
            (health, error) -> onProbe(assignment, member, health, error, sentNanos), thread);
  }

  private void onProbe(
      Assignment assignment,
      InstanceRecord member,
      MemberHealth health,
      Throwable error,
      long sentNanos) {
    probing.remove(member.id());
    if (error != null || !health.instance().equals(member.id())) {
      gate.onFailure(member.id());
    } else {
      gate.onHealth(health, sentNanos);
      orderLoad(assignment, member, health);
    }
    publish();
  }

  private void orderLoad(Assignment assignment, InstanceRecord member, MemberHealth health) {
    boolean isRunning =
        health.generation() == assignment.generation()
            && health.replica().equals(Optional.of(assignment.id()));
    if (isRunning || !member.zone().equals(settings.zone()) || !ordering.add(member.id())) {
      return;
    }
    engine
        .order(member, newOrder(assignment))
        .whenCompleteAsync(
            (ignored, error) -> {
              ordering.remove(member.id());
              if (error != null) {
                LOG.warn("control: load order failed: {}", error.getMessage());
              }
            },
            thread);
  }

  private EngineOrder newOrder(Assignment assignment) {
    String model =
        services.stream()
            .filter(s -> s.name().equals(assignment.service()))
            .map(ModelServiceSpec::model)
            .findFirst()
            .orElse("");
    return new EngineOrder(
        assignment.generation(),
        Optional.of(assignment.id()),
        assignment.generation(),
        model,
        "",
        assignment.members().stream().map(InstanceRecord::id).toList(),
        ORDER_DEADLINE_MILLIS);
  }

  private void publish() {
    long now = clock.nanoTime();
    Map<ServiceName, List<OpenReplica>> open = new HashMap<>();
    for (Assignment assignment : assignments) {
      if (isDrained(assignment)) {
        continue;
      }
      gate.getOpen(assignment, now)
          .ifPresent(
              r -> open.computeIfAbsent(assignment.service(), s -> new ArrayList<>()).add(r));
    }
    Map<ServiceName, ModelServiceSpec> specs = new HashMap<>();
    services.forEach(s -> specs.put(s.name(), s));
    Map<ServiceName, List<InstanceRecord>> targets = new HashMap<>();
    for (InstanceRecord instance : getUsableInstances()) {
      if (!instance.leaving()) {
        instance
            .plainService()
            .ifPresent(s -> targets.computeIfAbsent(s, t -> new ArrayList<>()).add(instance));
      }
    }
    view = new ServingView(specs, open, targets);
  }
}
