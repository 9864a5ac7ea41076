package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceList;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.OpenReplica;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.publisher.Flux;

/** A simulated entry process with its own clock and with a control thread that can be paused. */
final class FakeProcess implements ModelEngine, PeerBus {

  private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PeerId self;
  private final VirtualTime time;
  private final FakeNetwork network;
  private final Map<InstanceId, FakeEngine> engines;
  private final double clockRate;
  private final BiConsumer<PeerId, PeerNotice> publisher;
  private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
  private final List<Consumer<PeerNotice>> subscribers = new ArrayList<>();
  private final ZoneControl control;
  private boolean isPaused;

  FakeProcess(
      PeerId self,
      VirtualTime time,
      FakeNetwork network,
      Map<InstanceId, FakeEngine> engines,
      UniformRandomProvider random,
      ControlSettings settings,
      InstanceList instanceList,
      ReplicaPlanner planner,
      BiConsumer<PeerId, PeerNotice> publisher,
      boolean isEvidenceDatedOnArrival) {
    this.self = self;
    this.time = time;
    this.network = network;
    this.engines = engines;
    this.publisher = publisher;
    this.clockRate = 1 + (random.nextDouble() - 0.5) * FaultSchedule.MAX_DRIFT;
    ControlParts parts =
        new ControlParts(this, instanceList, network, this, planner, this::readClock, random);
    control =
        isEvidenceDatedOnArrival
            ? new ZoneControl(settings, parts, this::execute) {
              @Override
              long getEvidenceNanos(long sentNanos, long receivedNanos) {
                return receivedNanos;
              }
            }
            : new ZoneControl(settings, parts, this::execute);
    time.schedule(1 + random.nextLong(TICK_INTERVAL_NANOS), this::tick);
  }

  FakeNetwork getNetwork() {
    return network;
  }

  private long readClock() {
    return (long) (time.nanoTime() * clockRate);
  }

  private void tick() {
    if (!isPaused) {
      control.tick();
    }
    time.schedule(TICK_INTERVAL_NANOS, this::tick);
  }

  private void execute(Runnable task) {
    if (isPaused) {
      deferredTasks.add(task);
    } else {
      task.run();
    }
  }

  void pause() {
    isPaused = true;
  }

  /**
   * Ends the pause and runs the tasks that became due during it. Requests are sent before and after
   * each task, because the threads that carry traffic do not wait for the control thread.
   */
  void resume(Consumer<FakeProcess> sendRequests) {
    isPaused = false;
    sendRequests.accept(this);
    while (!deferredTasks.isEmpty()) {
      deferredTasks.remove().run();
      sendRequests.accept(this);
    }
  }

  /** Returns the replicas to which this process would send a request now. */
  List<OpenReplica> getOpenReplicas() {
    if (isPaused) {
      return List.of();
    }
    return control.getView().open().values().stream()
        .flatMap(List::stream)
        .filter(r -> r.isOpen(readClock()))
        .toList();
  }

  @Override
  public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
    return network.probe(engines.get(instance.id()));
  }

  @Override
  public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
    return network.order(engines.get(instance.id()), order);
  }

  @Override
  public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
    return CompletableFuture.completedFuture(new LoadReport(0, 0, 0, 0));
  }

  @Override
  public Flux<StreamChunk> stream(EngineRequest request) {
    return Flux.empty();
  }

  @Override
  public PeerId getSelf() {
    return self;
  }

  @Override
  public Set<PeerId> getLivePeers() {
    return Set.of();
  }

  @Override
  public void publish(PeerNotice notice) {
    publisher.accept(self, notice);
  }

  @Override
  public void subscribe(Consumer<PeerNotice> receiver) {
    subscribers.add(receiver);
  }

  void receive(PeerNotice notice) {
    subscribers.forEach(r -> r.accept(notice));
  }
}
