package io.fireflyshed.bench.drain;

import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceList;
import io.fireflyshed.state.instance.InstanceRecord;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Lists instances and tells late that they leave. Thread safe. */
final class LaggingInstanceList implements InstanceList {

  private final List<InstanceRecord> instances;
  private final MonotonicClock clock;
  private final long lagNanos;
  private final Map<InstanceId, Long> leavingSince = new ConcurrentHashMap<>();

  LaggingInstanceList(List<InstanceRecord> instances, MonotonicClock clock, Duration lag) {
    this.instances = List.copyOf(instances);
    this.clock = clock;
    this.lagNanos = lag.toNanos();
  }

  void leave(InstanceId instance, long nowNanos) {
    leavingSince.put(instance, nowNanos);
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> read() {
    long now = clock.nanoTime();
    return CompletableFuture.completedFuture(
        instances.stream().map(i -> isListedLeaving(i.id(), now) ? toLeaving(i) : i).toList());
  }

  private boolean isListedLeaving(InstanceId instance, long nowNanos) {
    Long since = leavingSince.get(instance);
    return since != null && nowNanos - since >= lagNanos;
  }

  private static InstanceRecord toLeaving(InstanceRecord instance) {
    return new InstanceRecord(
        instance.id(),
        instance.address(),
        instance.zone(),
        instance.domain(),
        instance.accelerators(),
        true,
        instance.plainService());
  }
}
