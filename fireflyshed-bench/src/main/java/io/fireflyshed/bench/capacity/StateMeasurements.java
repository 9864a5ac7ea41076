package io.fireflyshed.bench.capacity;

import io.fireflyshed.bench.BenchUtils;
import io.fireflyshed.coordination.gate.ServingGate;
import io.fireflyshed.coordination.routing.ReplicaRouter;
import io.fireflyshed.coordination.routing.RouteRequest;
import io.fireflyshed.protocol.platform.AssignmentCodec;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ServingView;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** Lists the costs of state that is held in memory. */
final class StateMeasurements {

  private static final List<Integer> REPLICAS = List.of(300, 1000, 3000);
  private static final List<Integer> MEMBERS = List.of(1, 8, 32);
  private static final int ROUTES = 1000;

  private StateMeasurements() {}

  /** A measurement that calls a function of the size. */
  private record Simple(
      String name, String unit, List<Integer> sizes, ToDoubleFunction<Integer> function)
      implements SlopeMeasurement {

    @Override
    public String getName() {
      return name;
    }

    @Override
    public String getUnit() {
      return unit;
    }

    @Override
    public List<Integer> getSizes() {
      return sizes;
    }

    @Override
    public double measure(int size) {
      return function.applyAsDouble(size);
    }
  }

  /** Gets all measurements; the router is the one that the daemon uses. */
  static List<SlopeMeasurement> getAll(Supplier<ReplicaRouter> router) {
    return List.of(
        new Simple("gate-publish-time", "us", REPLICAS, StateMeasurements::measurePublish),
        new Simple("gate-memory", "bytes", REPLICAS, StateMeasurements::measureGateBytes),
        new Simple("assignment-memory", "bytes", REPLICAS, StateMeasurements::measureAssignments),
        new Simple("assignment-decode-time", "us", REPLICAS, StateMeasurements::measureDecode),
        new Simple("assignment-row", "bytes", MEMBERS, StateMeasurements::measureRow),
        new Simple("route-time", "ns", REPLICAS, n -> measureRoute(router.get(), n)));
  }

  private static double measurePublish(int replicas) {
    List<Assignment> assignments = CapacityFixtures.newAssignments(replicas);
    ServingGate gate = CapacityFixtures.newGate(assignments);
    return BenchUtils.measureMicros(() -> CapacityFixtures.newView(gate, assignments));
  }

  private static double measureGateBytes(int replicas) {
    List<Assignment> assignments = CapacityFixtures.newAssignments(replicas);
    return BenchUtils.measureBytes(() -> CapacityFixtures.newGate(assignments));
  }

  private static double measureAssignments(int replicas) {
    return BenchUtils.measureBytes(() -> CapacityFixtures.newAssignments(replicas));
  }

  private static double measureDecode(int replicas) {
    List<String> rows =
        CapacityFixtures.newAssignments(replicas).stream()
            .map(CapacityFixtures::newStored)
            .map(AssignmentCodec::toText)
            .toList();
    return BenchUtils.measureMicros(() -> rows.forEach(AssignmentCodec::fromStoredText));
  }

  private static double measureRow(int members) {
    return AssignmentCodec.toText(
            CapacityFixtures.newStored(CapacityFixtures.newAssignment(0, members)))
        .length();
  }

  private static double measureRoute(ReplicaRouter router, int replicas) {
    List<Assignment> assignments = CapacityFixtures.newAssignments(replicas);
    ServingView view = CapacityFixtures.newView(CapacityFixtures.newGate(assignments), assignments);
    RouteRequest request = new RouteRequest(CapacityFixtures.SERVICE, "a formula card", Set.of());
    double micros =
        BenchUtils.measureMicros(
            () -> {
              for (int i = 0; i < ROUTES; i++) {
                router.choose(view, request, 1).orElseThrow();
              }
            });
    return micros * 1000 / ROUTES;
  }
}
