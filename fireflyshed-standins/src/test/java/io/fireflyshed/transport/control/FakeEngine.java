package io.fireflyshed.transport.control;

import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A fake engine of one instance that handles orders and probes and serves no requests. */
final class FakeEngine {

  private record Run(ReplicaId replica, long generation) {}

  private final InstanceRecord instance;
  private final VirtualTime time;
  private final boolean isFencingEnforced;
  private final long loadTimeNanos;
  private final Map<Run, Long> runEndNanos = new HashMap<>();
  private Optional<Run> run = Optional.empty();
  private boolean isReady;
  private boolean isAnswering = true;
  private boolean isLeaving;
  private boolean isLoadedByLateOrder;
  private long restarts;
  private long highestFencingToken;

  FakeEngine(
      InstanceRecord instance, VirtualTime time, boolean isFencingEnforced, long loadTimeNanos) {
    this.instance = instance;
    this.time = time;
    this.isFencingEnforced = isFencingEnforced;
    this.loadTimeNanos = loadTimeNanos;
  }

  InstanceRecord getInstance() {
    return instance;
  }

  InstanceId getId() {
    return instance.id();
  }

  boolean isAnswering() {
    return isAnswering;
  }

  boolean isLoadedByLateOrder() {
    return isLoadedByLateOrder;
  }

  void pause() {
    endRun();
    isAnswering = false;
  }

  void resume() {
    isAnswering = true;
  }

  void restart() {
    endRun();
    run = Optional.empty();
    isReady = false;
    isLeaving = false;
    isLoadedByLateOrder = false;
    isAnswering = true;
    restarts++;
  }

  void leave() {
    isLeaving = true;
  }

  /**
   * Handles an order and returns whether it is accepted. A late order was held back by a pause of
   * its sender, which may have lost the lease in the meantime.
   */
  boolean handleOrder(EngineOrder order, boolean isLate) {
    if (isFencingEnforced && order.fence() < highestFencingToken) {
      return false;
    }
    highestFencingToken = Math.max(highestFencingToken, order.fence());
    Optional<Run> wantedRun = order.replica().map(r -> new Run(r, order.generation()));
    if (wantedRun.equals(run)) {
      return true;
    }
    endRun();
    run = wantedRun;
    isReady = false;
    isLoadedByLateOrder = isLate;
    wantedRun.ifPresent(w -> time.schedule(loadTimeNanos, () -> finishLoad(w)));
    return true;
  }

  private void finishLoad(Run loadedRun) {
    isReady |= run.equals(Optional.of(loadedRun));
  }

  private void endRun() {
    if (isReady && isAnswering) {
      run.ifPresent(r -> runEndNanos.put(r, time.nanoTime()));
    }
  }

  MemberHealth getHealth() {
    return new MemberHealth(
        instance.id(),
        new BootId("b" + restarts),
        run.map(Run::replica),
        run.map(Run::generation).orElse(0L),
        isReady,
        isLeaving);
  }

  /** Returns how long ago the engine last ran the replica, 0 if it runs it now, in nanoseconds. */
  long getNanosSinceRun(Assignment assignment) {
    Run wantedRun = new Run(assignment.id(), assignment.generation());
    if (isAnswering && isReady && run.equals(Optional.of(wantedRun))) {
      return 0;
    }
    Long endNanos = runEndNanos.get(wantedRun);
    return endNanos == null ? Long.MAX_VALUE : time.nanoTime() - endNanos;
  }
}
