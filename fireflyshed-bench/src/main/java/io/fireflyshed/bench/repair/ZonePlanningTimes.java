package io.fireflyshed.bench.repair;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.AssignmentState;
import io.fireflyshed.coordination.assignment.ClusterState;
import io.fireflyshed.coordination.assignment.InstanceState;
import io.fireflyshed.coordination.assignment.InstanceStatus;
import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.coordination.repair.RolloutSettings;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the processor time of a whole call of the planner, with the comparison of two states of
 * the zone.
 */
final class ZonePlanningTimes {

  private static final int SIZE = 4;
  private static final int REPLICAS_PER_DOMAIN = 100;
  private static final int SPARES = 2;
  private static final int WARM_UP_CALLS = 1_000;
  private static final int CALLS = 1_000;
  private static final int SMALLEST = 100;
  private static final int GROWTH = 10;
  private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final AvailabilityZone ZONE = new AvailabilityZone("a");
  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final String MODEL = "m1";

  private final ReplicaPlanner planner =
      new RepairReplicaPlanner(
          RepairSettings.of(RepairWeights.ofHarwood()), RolloutSettings.ofDefaults());
  private final UniformRandomProvider random;
  private final List<ModelServiceSpec> services;
  private final List<InstanceRecord> instances = new ArrayList<>();
  private final List<Assignment> assignments = new ArrayList<>();
  private long nowNanos;

  private ZonePlanningTimes(int replicas, int seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    services = List.of(new ModelServiceSpec(SERVICE, MODEL, SIZE, replicas));
    for (int d = 0; d < replicas / REPLICAS_PER_DOMAIN; d++) {
      int first = instances.size();
      for (int i = 0; i < REPLICAS_PER_DOMAIN * SIZE + SPARES; i++) {
        instances.add(newInstance(d, i));
      }
      for (int i = 0; i < REPLICAS_PER_DOMAIN; i++) {
        ReplicaId id = new ReplicaId("cards.a." + assignments.size());
        int from = first + i * SIZE;
        assignments.add(new Assignment(id, SERVICE, 1, instances.subList(from, from + SIZE)));
      }
    }
  }

  /** Prints the figures for growing numbers of replicas; the smallest is the baseline. */
  static void measure(int largest, int seed, Figures figures) {
    double base = 0;
    for (int replicas = SMALLEST; replicas <= largest; replicas *= GROWTH) {
      ZonePlanningTimes run = new ZonePlanningTimes(replicas, seed);
      run.play(WARM_UP_CALLS);
      Histogram times = run.play(CALLS);
      double micros = times.getValueAtPercentile(99) / 1_000.0;
      base = base == 0 ? micros : base;
      figures.print("zone-planning-p99-at-" + replicas, micros, "us", base);
      double median = times.getValueAtPercentile(50) / 1_000.0;
      figures.print("zone-planning-p50-at-" + replicas, median, "us");
    }
  }

  private static InstanceRecord newInstance(int domain, int index) {
    return new InstanceRecord(
        new InstanceId(String.format("i%04d-%04d", domain, index)),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        ZONE,
        new FabricDomain("d" + domain),
        2,
        false,
        Optional.empty());
  }

  /** Suspects or drains one instance in every other call and clears it in the next. */
  private Histogram play(int calls) {
    Histogram times = new Histogram(3);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    for (int i = 0; i < calls; i++) {
      int changed = i % 2 == 0 ? random.nextInt(instances.size()) : -1;
      InstanceStatus status = i % 20 == 0 ? InstanceStatus.LEAVING : InstanceStatus.SUSPECT;
      ClusterState state = newState(changed, status);
      long start = threads.getCurrentThreadCpuTime();
      planner.plan(state);
      times.recordValue(threads.getCurrentThreadCpuTime() - start);
    }
    return times;
  }

  /** Makes a state that shares no record with the one before, as the coordinator does. */
  private ClusterState newState(int changed, InstanceStatus status) {
    nowNanos += STEP_NANOS;
    List<InstanceState> states = new ArrayList<>();
    for (int i = 0; i < instances.size(); i++) {
      InstanceStatus own = i == changed ? status : InstanceStatus.HEALTHY;
      boolean isAssigned = i % (REPLICAS_PER_DOMAIN * SIZE + SPARES) < REPLICAS_PER_DOMAIN * SIZE;
      states.add(new InstanceState(instances.get(i), own, 0, isAssigned));
    }
    List<AssignmentState> rows = new ArrayList<>();
    for (Assignment assignment : assignments) {
      Set<InstanceId> ready =
          Set.copyOf(assignment.members().stream().map(InstanceRecord::id).toList());
      rows.add(
          new AssignmentState(
              assignment, MODEL, AssignmentPhase.ACTIVE, ready, Set.of(), OptionalLong.empty()));
    }
    return new ClusterState(ZONE, services, states, rows, nowNanos);
  }
}
