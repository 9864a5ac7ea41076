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
 * Carries out the decisions of the lease, the health tracker, the gate and the zone coordinator of
 * one process. It has no thread and no timer of its own: {@link #tick()} performs the operations
 * that are due, and responses are handled on an executor that runs one task at a time. Only {@link
 * #getView()} and {@link #getMeter()} are thread safe.
 */
class ZoneControl {

  private static final Logger LOG = LoggerFactory.getLogger(ZoneControl.class);
  private static final long COORDINATION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long METER_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ControlSettings settings;
  private final ControlParts parts;
  private final Executor executor;
  private final AssignmentStore assignmentStore;
  private final LeaseStore leaseStore;
  private final ZoneLease lease;
  private final DrainTracker drain = new DrainTracker();
  private final HealthTracker health;
  private final ServingGate gate;
  private final InstanceView instanceView;
  private final ZoneCoordinator coordinator;
  private final ServingMeter meter = new ServingMeter();
  private final Set<InstanceId> probesInFlight = new HashSet<>();

  private List<ModelServiceSpec> services;
  private List<InstanceRecord> instances = List.of();
  private List<VersionedAssignment> assignments = List.of();
  private boolean isListReadInFlight;
  private boolean isRowsReadInFlight;
  private boolean isRowsReadDue;
  private boolean isStarted;
  private long nextProbeNanos;
  private long nextRefreshNanos;
  private long nextCoordinationNanos;
  private long nextMeterNanos;
  private volatile ServingView view = ServingView.ofNothing();

  ZoneControl(ControlSettings settings, ControlParts parts, Executor executor) {
    this.settings = settings;
    this.parts = parts;
    this.executor = executor;
    this.services = settings.services();
    CoordinatorSettings coordinatorSettings = settings.coordinator();
    assignmentStore = new AssignmentStore(parts.table());
    leaseStore = new LeaseStore(parts.table(), settings.zone());
    lease = new ZoneLease(parts.peers().getSelf(), coordinatorSettings.lease(), parts.random());
    health = new HealthTracker(coordinatorSettings.health());
    gate = new ServingGate(settings.evidenceMaxAge(), drain);
    instanceView =
        new InstanceView(settings.zone(), health, drain, coordinatorSettings.dissolve().goneTime());
    instanceView.onServices(services);
    coordinator =
        new ZoneCoordinator(coordinatorSettings.dissolve(), parts.planner(), instanceView);
    parts.peers().subscribe(notice -> executor.execute(() -> onNotice(notice)));
  }

  ServingView getView() {
    return view;
  }

  ServingMeter getMeter() {
    return meter;
  }

  void setServices(List<ModelServiceSpec> newServices) {
    services = newServices;
    instanceView.onServices(newServices);
    publishView();
  }

  void setDrainOrders(DrainOrders orders) {
    drain.onOrders(orders);
    publishView();
  }

  /** Performs all operations that are due. */
  void tick() {
    long now = now();
    if (!isStarted) {
      isStarted = true;
      nextProbeNanos = now;
      nextRefreshNanos = now;
      nextCoordinationNanos = now;
      nextMeterNanos = now;
    }
    lease.next(now).ifPresent(this::sendLeaseRequest);
    if (nextRefreshNanos - now <= 0) {
      nextRefreshNanos = now + settings.refreshInterval().toNanos();
      readInstanceList();
      isRowsReadDue = true;
    }
    if (isRowsReadDue) {
      readAssignments();
    }
    if (nextProbeNanos - now <= 0) {
      nextProbeNanos = now + settings.probeInterval().toNanos();
      findInstancesToProbe(now).values().forEach(this::probe);
    }
    if (nextCoordinationNanos - now <= 0) {
      nextCoordinationNanos = now + COORDINATION_INTERVAL_NANOS;
      publishView();
      coordinate();
    }
  }

  private long now() {
    return parts.clock().nanoTime();
  }

  private void sendLeaseRequest(LeaseAction action) {
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
      lease.onCommitted(result.restoreCount(), now());
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

  private void readInstanceList() {
    if (isListReadInFlight) {
      return;
    }
    isListReadInFlight = true;
    parts
        .instanceList()
        .read()
        .whenCompleteAsync(
            (listed, error) -> {
              isListReadInFlight = false;
              if (error != null) {
                LOG.warn("control: failed to read the instance list: {}", error.getMessage());
              } else {
                onInstanceList(listed);
              }
            },
            executor);
  }

  private void onInstanceList(List<InstanceRecord> listed) {
    instances = List.copyOf(listed);
    drain.onList(instances).forEach(this::notifyLeaving);
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
    publishView();
  }

  private void readAssignments() {
    if (isRowsReadInFlight) {
      return;
    }
    isRowsReadInFlight = true;
    isRowsReadDue = false;
    long sentNanos = now();
    assignmentStore
        .read()
        .whenCompleteAsync((rows, error) -> onAssignments(rows, error, sentNanos), executor);
  }

  private void onAssignments(List<VersionedAssignment> rows, Throwable error, long sentNanos) {
    isRowsReadInFlight = false;
    if (error != null) {
      LOG.warn("control: failed to read the assignments: {}", error.getMessage());
      return;
    }
    assignments = rows;
    List<VersionedAssignment> zoneRows =
        rows.stream()
            .filter(r -> r.stored().assignment().getHead().zone().equals(settings.zone()))
            .toList();
    coordinator.onRows(zoneRows, sentNanos, now());
    publishView();
  }

  /**
   * Returns the instances to probe: the members of all active replicas, and on the coordinator also
   * all engine instances of the zone and the members of dissolving replicas.
   */
  private Map<InstanceId, InstanceRecord> findInstancesToProbe(long nowNanos) {
    Map<InstanceId, InstanceRecord> toProbe = new HashMap<>();
    boolean isCoordinator = lease.getGrant(nowNanos).isPresent();
    for (VersionedAssignment row : assignments) {
      StoredAssignment stored = row.stored();
      if (stored.isActive() || isCoordinator && stored.isHolding()) {
        stored.assignment().members().forEach(m -> toProbe.put(m.id(), m));
      }
    }
    if (isCoordinator) {
      instances.stream()
          .filter(i -> i.isEngine() && i.zone().equals(settings.zone()))
          .forEach(i -> toProbe.put(i.id(), i));
    }
    return toProbe;
  }

  private void probe(InstanceRecord instance) {
    if (!probesInFlight.add(instance.id())) {
      return;
    }
    long sentNanos = now();
    parts
        .engine()
        .probe(instance)
        .whenCompleteAsync(
            (answer, error) -> onProbeEnded(instance.id(), answer, error, sentNanos), executor);
  }

  private void onProbeEnded(
      InstanceId instance, MemberHealth answer, Throwable error, long sentNanos) {
    probesInFlight.remove(instance);
    long now = now();
    if (error != null || !answer.instance().equals(instance)) {
      onInstanceFailure(instance, now);
    } else {
      health.onAnswer(instance, answer.boot(), sentNanos, now);
      instanceView.onHealth(answer, sentNanos);
      coordinator.onHealth(answer, sentNanos, now);
      if (gate.onHealth(answer, getEvidenceNanos(sentNanos, now))) {
        notifyLeaving(instance);
        publishView();
      }
    }
  }

  /**
   * Returns the clock reading from which the age of the evidence in an answer counts. Tests
   * override it to inject a defect.
   */
  long getEvidenceNanos(long sentNanos, long receivedNanos) {
    return sentNanos;
  }

  void onConnectionLost(InstanceId instance) {
    onInstanceFailure(instance, now());
    nextProbeNanos = now();
  }

  private void onInstanceFailure(InstanceId instance, long nowNanos) {
    health.onFailure(instance, nowNanos);
    if (gate.onFailure(instance, nowNanos)) {
      publishView();
      parts.peers().publish(new PeerNotice.MemberFailed(instance, drain.getBoot(instance)));
    }
  }

  private void notifyLeaving(InstanceId instance) {
    LOG.info("control: instance {} is leaving", instance);
    parts.peers().publish(new PeerNotice.InstanceLeaving(instance, drain.getBoot(instance)));
  }

  private void onNotice(PeerNotice notice) {
    if (notice instanceof PeerNotice.MemberFailed failed) {
      if (gate.onFailure(failed.instance(), now())) {
        publishView();
      }
      nextProbeNanos = now();
    } else if (notice instanceof PeerNotice.InstanceLeaving leaving) {
      drain.onNotice(leaving.instance(), leaving.boot());
      publishView();
    }
  }

  private void coordinate() {
    long now = now();
    Optional<LeaseGrant> grant = lease.getGrant(now);
    if (grant.isEmpty() || services.isEmpty()) {
      meter.suspend();
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
      nextMeterNanos = now + METER_INTERVAL_NANOS;
      meter.recordState(coordinator.getState(now), serving);
    }
    for (CoordinatorAction action : actions) {
      if (action instanceof CoordinatorAction.Commit commit) {
        commit(commit);
      } else {
        sendOrder((CoordinatorAction.Order) action);
      }
    }
  }

  private void commit(CoordinatorAction.Commit action) {
    StoredAssignment next = action.change().next();
    assignmentStore
        .commit(settings.zone(), action.change())
        .whenCompleteAsync(
            (result, error) -> {
              coordinator.onCommitEnded(now());
              isRowsReadDue = true;
              if (error != null) {
                LOG.warn(
                    "control: failed to commit the change of a replica: {}", error.getMessage());
              } else if (result.isCommitted()) {
                LOG.info("control: replica {} is now {}", next.assignment().id(), next.phase());
              } else {
                LOG.info(
                    "control: change of a replica not committed, conflicting rows: {}",
                    result.conflicts());
              }
            },
            executor);
  }

  private void sendOrder(CoordinatorAction.Order action) {
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
                LOG.warn("control: order to an engine failed: {}", error.getMessage());
              }
            },
            executor);
  }

  private void publishView() {
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
