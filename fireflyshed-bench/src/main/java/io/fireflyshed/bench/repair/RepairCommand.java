package io.fireflyshed.bench.repair;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.repair.RepairPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.coordination.repair.SpareUtils;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures group downtime and stranded accelerators of the planner, of a naive baseline and of a
 * lower bound with hindsight, and the planning time of one event.
 */
public final class RepairCommand implements Command {

  private static final int INSTANCES_PER_REPLICA = 4;
  private static final int ACCELERATORS = 2;
  private static final int MAX_SPARES = INSTANCES_PER_REPLICA - 1;

  private static final Setting<Integer> SEED =
      Setting.ofInteger("seed", 0, Integer.MAX_VALUE, 1, "seed of the outages");

  private static final Setting<Integer> DAYS =
      Setting.ofInteger("days", 1, 28, 7, "simulated days; each run of days has one lost rack");

  private static final Setting<Integer> ZONES =
      Setting.ofInteger(
          "zones", 1, 36, 36, "availability zones of the large fleet, 278 replicas each");

  private static final Setting<Integer> PAUSES =
      Setting.ofInteger(
          "pauses",
          0,
          4_000,
          400,
          "pauses a day for each 40,000 instances in the runs with pauses");

  private static final Setting<Boolean> KEEP_WEIGHTS =
      Setting.ofFlag("keep-weights", "members keep their weights while another one is replaced");

  private static final Setting<Integer> PLANNED_REPLICAS =
      Setting.ofInteger(
          "planned-replicas",
          100,
          10_000,
          10000,
          "replicas of the largest zone whose planning time is measured");

  @Override
  public String getName() {
    return "bench repair";
  }

  @Override
  public String getSummary() {
    return "Measures downtime, stranding and planning time of the repair planner.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, DAYS, ZONES, PAUSES, KEEP_WEIGHTS, PLANNED_REPLICAS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    int days = values.get(DAYS);
    int seed = values.get(SEED);
    boolean keeps = values.get(KEEP_WEIGHTS);
    try {
      for (int pauses : new int[] {0, values.get(PAUSES)}) {
        String suffix = "-pauses-" + pauses;
        measure("today" + suffix, new Fleet(3, 1, 22, days, seed, pauses, keeps), figures);
        measure(
            "large" + suffix,
            new Fleet(values.get(ZONES), 2, 139, days, seed, pauses, keeps),
            figures);
      }
      PlanningTimes.measure(values.get(PLANNED_REPLICAS), seed, figures);
      ZonePlanningTimes.measure(values.get(PLANNED_REPLICAS), seed, figures);
    } catch (IllegalStateException e) {
      out.println("invalid run: " + e.getMessage());
      return EXIT_FAILED;
    }
    return EXIT_OK;
  }

  private static void measure(String size, Fleet fleet, Figures figures) {
    measure(size + "-harwood", fleet, RepairWeights.ofHarwood(), figures);
    measure(size + "-viitekulma", fleet, RepairWeights.ofViitekulma(), figures);
  }

  private static void measure(String name, Fleet fleet, RepairWeights weights, Figures figures) {
    RepairSettings settings = newSettings(weights, fleet.isWeightKept());
    ZoneShape bare =
        new ZoneShape(
            fleet.domains(), fleet.replicasPerDomain(), INSTANCES_PER_REPLICA, ACCELERATORS, 0);
    double meanOut = bare.getInstancesPerDomain() * OutageTraces.MEAN_OUT_SHARE;
    int spares = SpareUtils.getSpares(weights, meanOut, INSTANCES_PER_REPLICA, ACCELERATORS);
    ZoneShape held = bare.withSpares(Math.min(MAX_SPARES, spares));
    long end = TimeUnit.DAYS.toNanos(fleet.days());
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.seed());
    int rackZone = random.nextInt(fleet.zones());
    RepairMeasures planned = RepairMeasures.ZERO;
    RepairMeasures naive = RepairMeasures.ZERO;
    RepairMeasures bound = RepairMeasures.ZERO;
    for (int zone = 0; zone < fleet.zones(); zone++) {
      List<Outage> outages =
          new OutageTraces(random, fleet.days(), fleet.pauses()).draw(bare, zone == rackZone);
      RepairPolicy policy = RepairPolicy.of(new RepairPlanner(settings));
      planned = planned.plus(new ZoneSimulation(held, settings, policy).run(outages, end));
      naive = naive.plus(new ZoneSimulation(bare, settings, new NaivePolicy()).run(outages, end));
      bound = bound.plus(new HindsightBound(bare, settings).getBound(outages, end));
    }
    print(name, planned, naive, bound, weights, figures);
    figures.print(name + "-spares-per-domain", held.spares(), "instances");
  }

  private static RepairSettings newSettings(RepairWeights weights, boolean isWeightKept) {
    RepairSettings base = RepairSettings.of(weights);
    return new RepairSettings(
        weights,
        base.loadTime(),
        base.loadSlots(),
        base.releaseTime(),
        isWeightKept,
        base.unstableLosses(),
        base.stableTime());
  }

  private static void print(
      String name,
      RepairMeasures planned,
      RepairMeasures naive,
      RepairMeasures bound,
      RepairWeights weights,
      Figures figures) {
    figures.print(
        name + "-downtime", planned.downtimeSeconds(), "replica-s", naive.downtimeSeconds());
    figures.print(
        name + "-stranded", planned.strandedSeconds(), "accelerator-s", naive.strandedSeconds());
    figures.print(name + "-bound-downtime", bound.downtimeSeconds(), "replica-s");
    figures.print(name + "-bound-stranded", bound.strandedSeconds(), "accelerator-s");
    double cost = planned.getCost(weights);
    figures.print(name + "-cost-to-naive", cost, "weighted-s", naive.getCost(weights));
    figures.print(name + "-cost-to-bound", cost, "weighted-s", bound.getCost(weights));
    figures.print(
        name + "-bound-to-naive", bound.getCost(weights), "weighted-s", naive.getCost(weights));
  }

  private record Fleet(
      int zones,
      int domains,
      int replicasPerDomain,
      int days,
      int seed,
      int pauses,
      boolean isWeightKept) {}
}
