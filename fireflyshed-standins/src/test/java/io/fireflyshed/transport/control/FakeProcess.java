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

/** One entry process: its control, its clock, and a thread that can be paused. */
final class FakeProcess implements ModelEngine, PeerBus {

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PeerId self;
  private final VirtualTime time;
  private final FakeNetwork network;
  private final Map<InstanceId, FakeEngine> engines;
  private final double clockRate;
  private final BiConsumer<PeerId, PeerNotice> publisher;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private final List<Consumer<PeerNotice>> receivers = new ArrayList<>();
  private final ZoneControl control;
  private boolean isPaused;

  FakeProcess(
      PeerId self,
      VirtualTime time,
      FakeNetwork network,
      Map<InstanceId, FakeEngine> engines,
      UniformRandomProvider random,
      ControlSettings settings,
      InstanceList list,
      ReplicaPlanner planner,
      BiConsumer<PeerId, PeerNotice> publisher,
      boolean isAgedFromReceipt) {
    this.self = self;
    this.time = time;
    this.network = network;
    this.engines = engines;
    this.publisher = publisher;
    this.clockRate = 1 + (random.nextDouble() - 0.5) * FaultSchedule.MAX_DRIFT;
    ControlParts parts = new ControlParts(this, list, network, this, planner, this::clock, random);
    control =
        isAgedFromReceipt
            ? new ZoneControl(settings, parts, this::run) {
              @Override
              long getEvidenceNanos(long sentNanos, long receivedNanos) {
                return receivedNanos;
              }
            }
            : new ZoneControl(settings, parts, this::run);
    time.after(1 + random.nextLong(TICK_NANOS), this::tick);
  }

  FakeNetwork getNetwork() {
    return network;
  }

  private long clock() {
    return (long) (time.now() * clockRate);
  }

  private void tick() {
    if (!isPaused) {
      control.tick();
    }
    time.after(TICK_NANOS, this::tick);
  }

  private void run(Runnable step) {
    if (isPaused) {
      waiting.add(step);
    } else {
      step.run();
    }
  }

  void pause() {
    isPaused = true;
  }

  /** Ends the pause; traffic goes on before the control thread has caught up. */
  void resume(Consumer<FakeProcess> traffic) {
    isPaused = false;
    traffic.accept(this);
    while (!waiting.isEmpty()) {
      waiting.remove().run();
      traffic.accept(this);
    }
  }

  /** Gets the replicas to which this process would send a request now. */
  List<OpenReplica> getOpen() {
    if (isPaused) {
      return List.of();
    }
    return control.getView().open().values().stream()
        .flatMap(List::stream)
        .filter(r -> r.isOpen(clock()))
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
    receivers.add(receiver);
  }

  void receive(PeerNotice notice) {
    receivers.forEach(r -> r.accept(notice));
  }
}
