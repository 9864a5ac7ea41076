package io.fireflyshed.bench.routing;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.bench.routing.RoutingSimulation.Result;
import io.fireflyshed.coordination.routing.AffinityRouter;
import io.fireflyshed.coordination.routing.ReplicaRouter;
import io.fireflyshed.coordination.routing.RouterSettings;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the time to the first token and the prefix hit rate of routing.
 *
 * <p>The same workload runs under each policy on a model of the fleet with late load reports, lost
 * and late cache events and one straggler. The load is a part of the throughput that the fleet
 * reaches under round robin without the straggler.
 */
public final class RoutingBench implements Command {

  private static final int ENTRIES = 9;
  private static final int ZONES = 3;
  private static final int CACHE_BLOCKS = 6_000;
  private static final int SATURATION_REQUESTS = 40;
  private static final double LOAD = 0.8;
  private static final double SLOWNESS = 4;
  private static final double MAX_P99_RATIO = 0.5;
  private static final double MIN_HIT_RATIO = 0.9;
  private static final double PERCENTILE = 99;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final Duration ZONE_COST = Duration.ofMillis(2);

  private static final Setting<Integer> SEED =
      Setting.ofInteger("seed", 1, 1_000_000, 1, "seed of the workload and the faults");

  private static final Setting<Integer> SECONDS =
      Setting.ofInteger("seconds", 10, 600, 90, "simulated length of a run");

  private static final Setting<Integer> REPLICAS =
      Setting.ofInteger("replicas", 3, 500, 65, "number of replicas");

  @Override
  public String getName() {
    return "bench routing";
  }

  @Override
  public String getSummary() {
    return "Measures time to first token and prefix hit rate of routing.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, SECONDS, REPLICAS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Fleet fleet =
        new Fleet(values.get(SEED), Duration.ofSeconds(values.get(SECONDS)), values.get(REPLICAS));
    double capacity = fleet.measureCapacity();
    Figures figures = new Figures(out);
    figures.print("routing-capacity", capacity, "requests/s");
    Result roundRobin = fleet.run(fleet::newRoundRobin, capacity * LOAD);
    Result leastInFlight = fleet.run(fleet::newLeastInFlight, capacity * LOAD);
    Result oracle = fleet.run(fleet::newOracle, capacity * LOAD);
    Result ours = fleet.run(fleet::newAffinity, capacity * LOAD);
    double baseline = Math.min(getP99(roundRobin), getP99(leastInFlight));
    figures.print("routing-ttft-p99-round-robin", getP99(roundRobin), "ms");
    figures.print("routing-ttft-p99-least-in-flight", getP99(leastInFlight), "ms");
    figures.print("routing-ttft-p99-oracle", getP99(oracle), "ms");
    figures.print("routing-ttft-p99", getP99(ours), "ms", baseline);
    figures.print("routing-ttft-p50", getP50(ours), "ms", getP50(leastInFlight));
    figures.print("routing-hit-rate-round-robin", roundRobin.hitRate(), "of-tokens");
    figures.print("routing-hit-rate-least-in-flight", leastInFlight.hitRate(), "of-tokens");
    figures.print("routing-hit-rate", ours.hitRate(), "of-tokens", oracle.hitRate());
    figures.print("routing-choice-time", fleet.affinity.getChooseMicros(), "us");
    boolean isMet =
        getP99(ours) <= MAX_P99_RATIO * baseline
            && ours.hitRate() >= MIN_HIT_RATIO * oracle.hitRate();
    out.println("target " + (isMet ? "met" : "missed") + ": p99 <= 0.5, hit rate >= 0.9");
    return EXIT_OK;
  }

  private static double getP99(Result result) {
    return result.ttftMicros().getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI;
  }

  private static double getP50(Result result) {
    return result.ttftMicros().getValueAtPercentile(50) / MICROS_PER_MILLI;
  }

  /** Creates the policy of a run. */
  private interface PolicyFactory {

    Policy create(ManualClock clock, List<EngineModel> engines);
  }

  /** The replicas and the settings of all runs. */
  private static final class Fleet {

    private final int seed;
    private final Duration length;
    private final List<ReplicaId> ids = new ArrayList<>();
    private final ServingView view;
    private Policies.RouterPolicy affinity;

    Fleet(int seed, Duration length, int replicas) {
      this.seed = seed;
      this.length = length;
      List<OpenReplica> open = new ArrayList<>();
      for (int i = 0; i < replicas; i++) {
        ids.add(new ReplicaId("r" + i));
        open.add(newReplica(ids.get(i), new AvailabilityZone("zone-" + i % ZONES)));
      }
      view = new ServingView(Map.of(), Map.of(Workload.SERVICE, open), Map.of());
    }

    private static OpenReplica newReplica(ReplicaId id, AvailabilityZone zone) {
      InstanceRecord head =
          new InstanceRecord(
              new InstanceId("i-" + id),
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              zone,
              new FabricDomain("d"),
              8,
              false,
              Optional.empty());
      Assignment assignment = new Assignment(id, Workload.SERVICE, 1, List.of(head));
      return new OpenReplica(assignment, Long.MAX_VALUE / 2);
    }

    double measureCapacity() {
      List<EngineModel> engines = newEngines(1);
      Policy policy = Policies.newRoundRobin(ENTRIES, ids.size(), newRandom(1));
      return newSimulation(new ManualClock(), engines, policy)
          .runClosed(SATURATION_REQUESTS)
          .answeredPerSecond();
    }

    Result run(PolicyFactory factory, double perSecond) {
      ManualClock clock = new ManualClock();
      List<EngineModel> engines = newEngines(SLOWNESS);
      return newSimulation(clock, engines, factory.create(clock, engines)).runOpen(perSecond);
    }

    private RoutingSimulation newSimulation(
        ManualClock clock, List<EngineModel> engines, Policy policy) {
      return new RoutingSimulation(clock, newRandom(0), engines, ids, ENTRIES, policy, length);
    }

    private List<EngineModel> newEngines(double firstSlowness) {
      List<EngineModel> engines = new ArrayList<>();
      for (int i = 0; i < ids.size(); i++) {
        engines.add(new EngineModel(CACHE_BLOCKS, i == 0 ? firstSlowness : 1));
      }
      return engines;
    }

    private UniformRandomProvider newRandom(int salt) {
      return RandomSource.XO_SHI_RO_256_PP.create(seed * 1_000L + salt);
    }

    Policy newRoundRobin(ManualClock clock, List<EngineModel> engines) {
      return Policies.newRoundRobin(ENTRIES, ids.size(), newRandom(1));
    }

    Policy newOracle(ManualClock clock, List<EngineModel> engines) {
      return Policies.newOracle(engines);
    }

    Policy newLeastInFlight(ManualClock clock, List<EngineModel> engines) {
      List<ServingView> views = new ArrayList<>();
      for (int i = 0; i < ENTRIES; i++) {
        List<OpenReplica> open = new ArrayList<>(view.getOpen(Workload.SERVICE));
        Collections.rotate(open, i * open.size() / ENTRIES);
        views.add(new ServingView(Map.of(), Map.of(Workload.SERVICE, open), Map.of()));
      }
      return Policies.newLeastInFlight(ENTRIES, ids, views);
    }

    Policy newAffinity(ManualClock clock, List<EngineModel> engines) {
      ReplicaRouter[] routers = new ReplicaRouter[ENTRIES];
      for (int i = 0; i < ENTRIES; i++) {
        AvailabilityZone zone = new AvailabilityZone("zone-" + i % ZONES);
        RouterSettings settings = RouterSettings.of(zone, ZONE_COST);
        routers[i] = new AffinityRouter(settings, clock, newRandom(2 + i));
      }
      affinity = new Policies.RouterPolicy(routers, ids, Collections.nCopies(ENTRIES, view));
      return affinity;
    }
  }
}
