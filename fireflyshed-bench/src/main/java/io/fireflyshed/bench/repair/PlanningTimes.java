package io.fireflyshed.bench.repair;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.coordination.repair.RepairPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Measures how long the planner takes for one event, and how much memory its state takes. */
final class PlanningTimes {

  private static final int SIZE = 4;
  private static final int REPLICAS_PER_DOMAIN = 100;
  private static final int SPARES = 2;
  private static final int WARM_UP_LOSSES = 5_000;
  private static final int LOSSES = 20_000;
  private static final int RACK_INSTANCES = 32;
  private static final int SMALLEST = 100;
  private static final int GROWTH = 10;
  private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final RepairPlanner planner =
      new RepairPlanner(RepairSettings.of(RepairWeights.ofHarwood()));
  private final Histogram times = new Histogram(3);
  private final UniformRandomProvider random;
  private final int domains;
  private long nowNanos;

  private PlanningTimes(int replicas, int seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    domains = replicas / REPLICAS_PER_DOMAIN;
    int perDomain = REPLICAS_PER_DOMAIN * SIZE + SPARES;
    for (int i = 0; i < domains * perDomain; i++) {
      FabricDomain domain = new FabricDomain("d" + i / perDomain);
      handle(new RepairEvent.InstanceAdded(new InstanceId("i" + i), domain, nowNanos));
    }
    for (int i = 0; i < replicas; i++) {
      handle(new RepairEvent.ReplicaWanted(new ReplicaId("r" + i), SIZE, nowNanos));
    }
  }

  /** Prints the figures for growing numbers of replicas; the smallest is the baseline. */
  static void measure(int largest, int seed, Figures figures) {
    new PlanningTimes(SMALLEST, seed).play(WARM_UP_LOSSES);
    double baseTime = 0;
    double baseBytes = 0;
    for (int replicas = SMALLEST; replicas <= largest; replicas *= GROWTH) {
      double bytes = getBytesPerReplica(replicas, largest / replicas, seed);
      PlanningTimes run = new PlanningTimes(replicas, seed);
      run.play(WARM_UP_LOSSES);
      run.times.reset();
      run.play(LOSSES);
      double micros = run.times.getValueAtPercentile(99) / 1_000.0;
      baseTime = baseTime == 0 ? micros : baseTime;
      baseBytes = baseBytes == 0 ? bytes : baseBytes;
      figures.print("planning-p99-at-" + replicas, micros, "us", baseTime);
      figures.print("planning-max-at-" + replicas, run.times.getMaxValue() / 1_000.0, "us");
      figures.print("state-per-replica-at-" + replicas, bytes, "bytes", baseBytes);
    }
  }

  /** Loses racks and single instances, which come back blank after a while. */
  private void play(int losses) {
    Deque<InstanceId> out = new ArrayDeque<>();
    int perDomain = REPLICAS_PER_DOMAIN * SIZE + SPARES;
    for (int i = 0; i < losses; i++) {
      nowNanos += STEP_NANOS;
      int count = i % 100 == 0 ? RACK_INSTANCES : 1;
      int first = random.nextInt(domains) * perDomain + random.nextInt(perDomain - count);
      for (int j = 0; j < count; j++) {
        InstanceId instance = new InstanceId("i" + (first + j));
        handle(new RepairEvent.InstanceLost(instance, false, nowNanos));
        out.add(instance);
      }
      while (out.size() > RACK_INSTANCES + GROWTH) {
        handle(new RepairEvent.InstanceReturned(out.remove(), false, nowNanos));
      }
      handle(new RepairEvent.TimePassed(nowNanos));
    }
  }

  private void handle(RepairEvent event) {
    Deque<RepairEvent> events = new ArrayDeque<>();
    events.add(event);
    while (!events.isEmpty()) {
      long start = System.nanoTime();
      var actions = planner.handle(events.remove());
      times.recordValue(System.nanoTime() - start);
      for (RepairAction action : actions) {
        if (action instanceof RepairAction.SetMembers set) {
          events.add(new RepairEvent.ReplicaFormed(set.replica(), set.members(), nowNanos));
        } else if (action instanceof RepairAction.StartLoad load) {
          events.add(new RepairEvent.LoadFinished(load.member(), nowNanos));
        }
      }
    }
  }

  private static double getBytesPerReplica(int replicas, int copies, int seed) {
    long before = getUsedBytes();
    List<RepairPlanner> planners = new ArrayList<>();
    for (int i = 0; i < copies; i++) {
      planners.add(new PlanningTimes(replicas, seed).planner);
    }
    return (getUsedBytes() - before) / (double) replicas / planners.size();
  }

  private static long getUsedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
