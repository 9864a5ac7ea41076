package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.CoordinatorAction;
import io.fireflyshed.coordination.assignment.InstanceView;
import io.fireflyshed.coordination.assignment.StoredAssignment;
import io.fireflyshed.coordination.assignment.VersionedAssignment;
import io.fireflyshed.coordination.assignment.ZoneCoordinator;
import io.fireflyshed.coordination.drain.DrainOrders;
import io.fireflyshed.coordination.drain.DrainTracker;
import io.fireflyshed.coordination.gate.ServingGate;
import io.fireflyshed.coordination.health.HealthTracker;
import io.fireflyshed.coordination.lease.LeaseAction;
import io.fireflyshed.coordination.lease.LeaseGrant;
import io.fireflyshed.coordination.lease.ZoneLease;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.state.table.CommitResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the decisions of one process to the outside. It has no thread and no timer: {@link
 * #tick()} does what is due, and answers come back through an executor that runs one step at a
 * time. Not thread safe but for {@link #getView()} and {@link #getMeter()}.
 */
class ZoneControl {

  private static final Logger LOG = LoggerFactory.getLogger(ZoneControl.class);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long METER_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ControlSettings settings;
  private final ControlParts parts;
  private final Executor executor;
  private final AssignmentStore store;
  private final LeaseStore leaseStore;
  private final ZoneLease lease;
  private final DrainTracker drain = new DrainTracker();
  private final HealthTracker health;
  private final ServingGate gate;
  private final InstanceView instanceView;
  private final ZoneCoordinator coordinator;
  private final ServingMeter meter = new ServingMeter();
  private final Set<InstanceId> probing = new HashSet<>();

  private List<ModelServiceSpec> services;
  private List<InstanceRecord> instances = List.of();
  private List<VersionedAssignment> assignments = List.of();
  private boolean isReadingList;
  private boolean isReadingRows;
  private boolean isRowsReadDue;
  private boolean isStarted;
  private long nextProbeNanos;
  private long nextRefreshNanos;
  private long nextStepNanos;
  private long nextMeterNanos;
  private volatile ServingView view = ServingView.ofNothing();

  ZoneControl(ControlSettings settings, ControlParts parts, Executor executor) {
    this.settings = settings;
    this.parts = parts;
    this.executor = executor;
    this.services = settings.services();
    CoordinatorSettings bounds = settings.coordinator();
    store = new AssignmentStore(parts.table());
    leaseStore = new LeaseStore(parts.table(), settings.zone());
    lease = new ZoneLease(parts.peers().getSelf(), bounds.lease(), parts.random());
    health = new HealthTracker(bounds.health());
    gate = new ServingGate(settings.evidenceMaxAge(), drain);
    instanceView = new InstanceView(settings.zone(), health, drain, bounds.dissolve().goneTime());
    instanceView.onServices(services);
    coordinator = new ZoneCoordinator(bounds.dissolve(), parts.planner(), instanceView);
    parts.peers().subscribe(notice -> executor.execute(() -> onNotice(notice)));
  }

  ServingView getView() {
    return view;
  }

  ServingMeter getMeter() {
    return meter;
  }

  void setServices(List<ModelServiceSpec> wanted) {
    services = wanted;
    instanceView.onServices(wanted);
    publish();
  }

  void setDrains(DrainOrders orders) {
    drain.onOrders(orders);
    publish();
  }

  /** Does what is due now. */
  void tick() {
    long now = now();
    if (!isStarted) {
      isStarted = true;
      nextProbeNanos = now;
      nextRefreshNanos = now;
      nextStepNanos = now;
      nextMeterNanos = now;
    }
    lease.next(now).ifPresent(this::send);
    if (nextRefreshNanos - now <= 0) {
      nextRefreshNanos = now + settings.refreshInterval().toNanos();
      readList();
      isRowsReadDue = true;
    }
    if (isRowsReadDue) {
      readRows();
    }
    if (nextProbeNanos - now <= 0) {
      nextProbeNanos = now + settings.probeInterval().toNanos();
      findProbed(now).values().forEach(this::probe);
    }
    if (nextStepNanos - now <= 0) {
      nextStepNanos = now + STEP_NANOS;
      publish();
      coordinate();
    }
  }

  private long now() {
    return parts.clock().nanoTime();
  }

  private void send(LeaseAction action) {
    if (action instanceof LeaseAction.Read) {
      leaseStore
          .read()
          .whenCompleteAsync(
              (rows, error) -> {
                if (error != null) {
                  lease.onFailure(now());
                } else {
                  lease.onRead(rows, now());
                }
              },
              executor);
      return;
    }
    leaseStore.commit(action).whenCompleteAsync(this::onLeaseCommit, executor);
  }

  private void onLeaseCommit(CommitResult result, Throwable error) {
    if (error != null) {
      lease.onFailure(now());
    } else if (result.isCommitted()) {
      lease.onCommitted(now());
    } else {
      lease.onConflict(now());
    }
  }

  CompletableFuture<CommitResult> releaseLease() {
    return lease
        .release(now())
        .map(leaseStore::commit)
        .orElseGet(() -> CompletableFuture.completedFuture(new CommitResult(false, List.of())));
  }

  private void readList() {
    if (isReadingList) {
      return;
    }
    isReadingList = true;
    parts
        .instanceList()
        .read()
        .whenCompleteAsync(
            (listed, error) -> {
              isReadingList = false;
              if (error != null) {
                LOG.warn("control: reading the instance list failed: {}", error.getMessage());
              } else {
                onList(listed);
              }
            },
            executor);
  }

  private void onList(List<InstanceRecord> listed) {
    instances = List.copyOf(listed);
    drain.onList(instances).forEach(this::publishLeaving);
    Set<InstanceId> members = new HashSet<>();
    assignments.stream()
        .map(VersionedAssignment::stored)
        .filter(StoredAssignment::isHolding)
        .forEach(s -> s.assignment().members().forEach(m -> members.add(m.id())));
    instanceView.onList(instances, members, now());
    instances.forEach(i -> members.add(i.id()));
    health.retain(members);
    drain.retain(members);
    gate.retain(members);
    publish();
  }

  private void readRows() {
    if (isReadingRows) {
      return;
    }
    isReadingRows = true;
    isRowsReadDue = false;
    long sentNanos = now();
    store.read().whenCompleteAsync((rows, error) -> onRows(rows, error, sentNanos), executor);
  }

  private void onRows(List<VersionedAssignment> rows, Throwable error, long sentNanos) {
    isReadingRows = false;
    if (error != null) {
      LOG.warn("control: reading the assignments failed: {}", error.getMessage());
      return;
    }
    assignments = rows;
    List<VersionedAssignment> own =
        rows.stream()
            .filter(r -> r.stored().assignment().getHead().zone().equals(settings.zone()))
            .toList();
    coordinator.onRows(own, sentNanos, now());
    publish();
  }

  /** Finds the instances to probe: all that serve, and as coordinator all of the zone. */
  private Map<InstanceId, InstanceRecord> findProbed(long nowNanos) {
    Map<InstanceId, InstanceRecord> probed = new HashMap<>();
    boolean isCoordinator = lease.getGrant(nowNanos).isPresent();
    for (VersionedAssignment row : assignments) {
      StoredAssignment stored = row.stored();
      if (stored.isActive() || isCoordinator && stored.isHolding()) {
        stored.assignment().members().forEach(m -> probed.put(m.id(), m));
      }
    }
    if (isCoordinator) {
      instances.stream()
          .filter(i -> i.isEngine() && i.zone().equals(settings.zone()))
          .forEach(i -> probed.put(i.id(), i));
    }
    return probed;
  }

  private void probe(InstanceRecord instance) {
    if (!probing.add(instance.id())) {
      return;
    }
    long sentNanos = now();
    parts
        .engine()
        .probe(instance)
        .whenCompleteAsync(
            (answer, error) -> onProbe(instance.id(), answer, error, sentNanos), executor);
  }

  private void onProbe(InstanceId instance, MemberHealth answer, Throwable error, long sentNanos) {
    probing.remove(instance);
    long now = now();
    if (error != null || !answer.instance().equals(instance)) {
      onFailed(instance, now);
    } else {
      health.onAnswer(instance, answer.boot(), sentNanos, now);
      instanceView.onHealth(answer, sentNanos);
      coordinator.onHealth(answer, sentNanos, now);
      if (gate.onHealth(answer, getEvidenceNanos(sentNanos, now))) {
        publishLeaving(instance);
        publish();
      }
    }
  }

  /** Gets the moment from which evidence ages. Tests show what another choice would break. */
  long getEvidenceNanos(long sentNanos, long receivedNanos) {
    return sentNanos;
  }

  void onConnectionLost(InstanceId instance) {
    onFailed(instance, now());
    nextProbeNanos = now();
  }

  private void onFailed(InstanceId instance, long nowNanos) {
    health.onFailure(instance, nowNanos);
    if (gate.onFailure(instance, nowNanos)) {
      publish();
      parts.peers().publish(new PeerNotice.MemberFailed(instance, drain.getBoot(instance)));
    }
  }

  private void publishLeaving(InstanceId instance) {
    LOG.info("control: instance {} leaves", instance);
    parts.peers().publish(new PeerNotice.InstanceLeaving(instance, drain.getBoot(instance)));
  }

  private void onNotice(PeerNotice notice) {
    if (notice instanceof PeerNotice.MemberFailed failed) {
      if (gate.onFailure(failed.instance(), now())) {
        publish();
      }
      nextProbeNanos = now();
    } else if (notice instanceof PeerNotice.InstanceLeaving leaving) {
      drain.onNotice(leaving.instance(), leaving.boot());
      publish();
    }
  }

  private void coordinate() {
    long now = now();
    Optional<LeaseGrant> grant = lease.getGrant(now);
    if (grant.isEmpty() || services.isEmpty()) {
      meter.onNoLease();
      return;
    }
    Set<ReplicaId> serving = new HashSet<>();
    view.open().values().stream()
        .flatMap(List::stream)
        .map(OpenReplica::assignment)
        .filter(a -> a.getHead().zone().equals(settings.zone()))
        .forEach(a -> serving.add(a.id()));
    List<CoordinatorAction> actions = coordinator.step(grant.get(), serving, now);
    if (nextMeterNanos - now <= 0) {
      nextMeterNanos = now + METER_NANOS;
      meter.onState(coordinator.getState(now), serving);
    }
    for (CoordinatorAction action : actions) {
      if (action instanceof CoordinatorAction.Commit commit) {
        commit(commit);
      } else {
        order((CoordinatorAction.Order) action);
      }
    }
  }

  private void commit(CoordinatorAction.Commit action) {
    StoredAssignment next = action.change().next();
    store
        .commit(settings.zone(), action.change())
        .whenCompleteAsync(
            (result, error) -> {
              coordinator.onCommitEnded(now());
              isRowsReadDue = true;
              if (error != null) {
                LOG.warn("control: change failed: {}", error.getMessage());
              } else if (result.isCommitted()) {
                LOG.info("control: replica {} is {}", next.assignment().id(), next.phase());
              } else {
                LOG.info("control: change conflicts: {}", result.conflicts());
              }
            },
            executor);
  }

  private void order(CoordinatorAction.Order action) {
    if (lease.getGrant(now()).isEmpty()) {
      coordinator.onOrderEnded(action, false, now());
      return;
    }
    EngineOrder order =
        new EngineOrder(
            action.fence(),
            action.replica(),
            action.generation(),
            action.model(),
            "",
            action.members(),
            settings.coordinator().dissolve().orderDeadline().toMillis());
    parts
        .engine()
        .order(action.instance(), order)
        .whenCompleteAsync(
            (ignored, error) -> {
              coordinator.onOrderEnded(action, error == null, now());
              if (error != null) {
                LOG.warn("control: order failed: {}", error.getMessage());
              }
            },
            executor);
  }

  private void publish() {
    long now = now();
    Map<ServiceName, List<OpenReplica>> open = new HashMap<>();
    for (VersionedAssignment row : assignments) {
      if (row.stored().isActive()) {
        Assignment assignment = row.stored().assignment();
        gate.getOpen(assignment, now)
            .ifPresent(
                r -> open.computeIfAbsent(assignment.service(), s -> new ArrayList<>()).add(r));
      }
    }
    Map<ServiceName, ModelServiceSpec> specs = new HashMap<>();
    services.forEach(s -> specs.put(s.name(), s));
    Map<ServiceName, List<InstanceRecord>> targets = new HashMap<>();
    for (InstanceRecord instance : instances) {
      if (!drain.isLeaving(instance)) {
        instance
            .plainService()
            .ifPresent(s -> targets.computeIfAbsent(s, t -> new ArrayList<>()).add(instance));
      }
    }
    view = new ServingView(specs, open, targets);
  }
}
