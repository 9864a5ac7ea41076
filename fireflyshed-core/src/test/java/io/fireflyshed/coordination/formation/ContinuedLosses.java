package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Plays three availability zones that lose engines of their replicas for good, one zone after the
 * other, while new engines are added, and callers that keep a number of replicas busy.
 */
final class ContinuedLosses {

  static final ModelProfile LARGE =
      new ModelProfile("large", 12, 0.5, 1, Duration.ofSeconds(16), Duration.ofMillis(1600));
  static final ModelProfile SMALL =
      new ModelProfile("small", 6, 0.5, 0.6, Duration.ofSeconds(12), Duration.ofMillis(1100));

  private static final int ZONES = 3;
  private static final int DOMAINS = 2;
  private static final int DOMAIN_SIZE = 27;
  private static final double LOADS_PER_SECOND = 14;
  private static final int ROUNDS = 13;
  private static final int ROUNDS_WITHOUT_ADDITIONS = 4;
  private static final int LOSSES = 3;
  private static final Duration ROUND = Duration.ofSeconds(3);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(19);

  final List<FormationSimulation> zones = new ArrayList<>();
  private final Map<String, Double> busyReplicas;
  private final boolean isUsageTold;
  private final Map<String, Double> served = new HashMap<>();
  private int stepsWithoutAny;
  private int steps;
  private int added;

  ContinuedLosses(long seed, Map<String, Double> busyReplicas, boolean isUsageTold) {
    this.busyReplicas = busyReplicas;
    this.isUsageTold = isUsageTold;
    for (int z = 0; z < ZONES; z++) {
      zones.add(
          new FormationSimulation(
              seed * ZONES + z,
              DOMAINS,
              DOMAIN_SIZE,
              LOADS_PER_SECOND / ZONES,
              List.of(LARGE, SMALL)));
    }
    zones.forEach(z -> z.planner.setLoadsUnlimited(true));
    run(SETTLE_TIME, false);
    zones.forEach(z -> z.planner.setLoadsUnlimited(false));
  }

  /** Loses engines in each round, in the next zone. */
  void play() {
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < LOSSES; i++) {
        loseMember(zones.get(round % ZONES));
        if (round >= ROUNDS_WITHOUT_ADDITIONS) {
          added++;
          zones.get((round + 1) % ZONES).add("new" + added, "d" + added % DOMAINS);
        }
      }
      run(ROUND, true);
    }
  }

  private static void loseMember(FormationSimulation zone) {
    List<SimulatedEngine> members =
        zone.engines.values().stream()
            .filter(e -> e.isAlive && e.membership != null && e.members.size() > 1)
            .toList();
    members.get(zone.random.nextInt(members.size())).isAlive = false;
  }

  private void run(Duration time, boolean hasCallers) {
    long count = time.toMillis() / FormationSimulation.STEP_MILLIS;
    for (long i = 0; i < count; i++) {
      for (FormationSimulation zone : zones) {
        zone.planner.setReplicasInOtherZones(countElsewhere(zone));
        zone.planner.setZonesBefore(countZonesBefore(zone));
        if (hasCallers && isUsageTold) {
          zone.planner.recordUsage(busyReplicas, Duration.ofMillis(zone.nowMillis).toNanos());
        }
        zone.run(Duration.ofMillis(FormationSimulation.STEP_MILLIS));
      }
      if (hasCallers) {
        count();
      }
    }
  }

  private Map<String, Integer> countElsewhere(FormationSimulation zone) {
    Map<String, Integer> elsewhere = new HashMap<>();
    zones.stream()
        .filter(other -> other != zone)
        .forEach(
            other ->
                List.of(LARGE, SMALL)
                    .forEach(
                        m ->
                            elsewhere.merge(m.name(), (int) other.countComplete(m), Integer::sum)));
    return elsewhere;
  }

  private Map<String, Integer> countZonesBefore(FormationSimulation zone) {
    Map<String, Integer> before = new HashMap<>();
    for (FormationSimulation other : zones.subList(0, zones.indexOf(zone))) {
      for (ModelProfile model : List.of(LARGE, SMALL)) {
        before.merge(model.name(), other.countComplete(model) > 0 ? 1 : 0, Integer::sum);
      }
    }
    return before;
  }

  private void count() {
    steps++;
    for (ModelProfile model : List.of(LARGE, SMALL)) {
      double replicas = zones.stream().mapToLong(z -> z.countComplete(model)).sum();
      stepsWithoutAny += replicas == 0 ? 1 : 0;
      served.merge(
          model.name(), Math.min(1, replicas / busyReplicas.get(model.name())), Double::sum);
    }
  }

  /** Returns the part of the callers of a model for whom there were replicas. */
  double getServed(ModelProfile model) {
    return served.get(model.name()) / steps;
  }

  /** Returns the part of the time in which a model had no replica. */
  double getTimeWithoutAny() {
    return (double) stepsWithoutAny / steps;
  }
}
