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

/** The engine of one instance, reduced to what the gate and the coordinator see of it. */
final class FakeEngine {

  private record Run(ReplicaId replica, long generation) {}

  private final InstanceRecord instance;
  private final VirtualTime time;
  private final boolean isFencing;
  private final long loadNanos;
  private final Map<Run, Long> runEnds = new HashMap<>();
  private Optional<Run> run = Optional.empty();
  private boolean isReady;
  private boolean isAnswering = true;
  private boolean isLeaving;
  private boolean isLateState;
  private long boot;
  private long fence;

  FakeEngine(InstanceRecord instance, VirtualTime time, boolean isFencing, long loadNanos) {
    this.instance = instance;
    this.time = time;
    this.isFencing = isFencing;
    this.loadNanos = loadNanos;
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

  boolean isLateState() {
    return isLateState;
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
    isLateState = false;
    isAnswering = true;
    boot++;
  }

  void leave() {
    isLeaving = true;
  }

  /** Takes an order that arrives; a late one was written after its sender lost the lease. */
  boolean order(EngineOrder order, boolean isLate) {
    if (isFencing && order.fence() < fence) {
      return false;
    }
    fence = Math.max(fence, order.fence());
    Optional<Run> wanted = order.replica().map(r -> new Run(r, order.generation()));
    if (wanted.equals(run)) {
      return true;
    }
    endRun();
    run = wanted;
    isReady = false;
    isLateState = isLate;
    wanted.ifPresent(w -> time.after(loadNanos, () -> finishLoad(w)));
    return true;
  }

  private void finishLoad(Run loaded) {
    isReady |= run.equals(Optional.of(loaded));
  }

  private void endRun() {
    if (isReady && isAnswering) {
      run.ifPresent(r -> runEnds.put(r, time.now()));
    }
  }

  MemberHealth getHealth() {
    return new MemberHealth(
        instance.id(),
        new BootId("b" + boot),
        run.map(Run::replica),
        run.map(Run::generation).orElse(0L),
        isReady,
        isLeaving);
  }

  /** Gets how long ago the engine last ran a replica, 0 if it does now. */
  long getIdleNanos(Assignment assignment) {
    Run wanted = new Run(assignment.id(), assignment.generation());
    if (isAnswering && isReady && run.equals(Optional.of(wanted))) {
      return 0;
    }
    Long end = runEnds.get(wanted);
    return end == null ? Long.MAX_VALUE : time.now() - end;
  }
}
