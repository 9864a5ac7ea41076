package io.fireflyshed.bench.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.coordination.repair.RepairPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Compares policies by {@link ZoneSimulation}. */
public class ZoneSimulationTest {

  private static final String REPRODUCE =
      "; mvn -o test -pl fireflyshed-bench -am -Dtest='ZoneSimulationTest*'"
          + " -Dsurefire.failIfNoSpecifiedTests=false";
  private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final RepairWeights WEIGHTS = RepairWeights.ofHarwood();

  private static RepairSettings newSettings(int slots) {
    return new RepairSettings(
        WEIGHTS,
        Duration.ofSeconds(120),
        slots,
        Duration.ofSeconds(5),
        true,
        4,
        Duration.ofMinutes(10));
  }

  private static RepairPolicy newPlanner(RepairSettings settings) {
    return RepairPolicy.of(new RepairPlanner(settings));
  }

  /** Tests of the simulation itself. */
  public static class Measures {

    private static final ZoneShape SHAPE = new ZoneShape(1, 2, 2, 8, 0);

    @Test
    public void countsAnOutageAndTheLoadAfterIt() {
      List<Outage> outages =
          List.of(new Outage(0, 0, TimeUnit.SECONDS.toNanos(60), HOUR_NANOS / 2, true));
      RepairSettings settings = newSettings(1);
      RepairMeasures measures =
          new ZoneSimulation(SHAPE, settings, newPlanner(settings)).run(outages, HOUR_NANOS);
      double down = 1_800 - 60 + 120;
      assertEquals(measures.downtimeSeconds(), down, 1e-6);
      assertEquals(measures.strandedSeconds(), 8 * (down + 120), 1e-6);
    }

    @Test
    public void findsAnInstanceInTwoReplicas() {
      RepairSettings settings = newSettings(1);
      RepairPolicy planner = newPlanner(settings);
      RepairPolicy broken =
          new RepairPolicy() {
            @Override
            public List<RepairAction> handle(RepairEvent event) {
              List<RepairAction> actions = new ArrayList<>(planner.handle(event));
              if (event instanceof RepairEvent.InstanceLost lost) {
                actions.add(newTheft());
              }
              return actions;
            }

            @Override
            public OptionalLong getNextDeadlineNanos() {
              return planner.getNextDeadlineNanos();
            }
          };
      ZoneSimulation simulation = new ZoneSimulation(SHAPE, settings, broken);
      List<Outage> outages = List.of(new Outage(0, 0, 1, HOUR_NANOS, true));
      assertThrows(IllegalStateException.class, () -> simulation.run(outages, HOUR_NANOS));
    }

    private static RepairAction newTheft() {
      return new RepairAction.SetMembers(
          new ReplicaId("r0"), List.of(new InstanceId("i2"), new InstanceId("i1")));
    }
  }

  /** Compares the planner with the baseline on seeded days. */
  public static class Differential {

    @Test
    public void costsLessThanTheBaselineOnEachSeed() {
      ZoneShape bare = new ZoneShape(2, 60, 4, 2, 0);
      RepairSettings settings = RepairSettings.of(WEIGHTS);
      long end = TimeUnit.DAYS.toNanos(7);
      for (int seed = 0; seed < 10; seed++) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Outage> outages = new OutageTraces(random, 7, 400).draw(bare, seed % 2 == 0);
        double planned =
            new ZoneSimulation(bare.withSpares(1), settings, newPlanner(settings))
                .run(outages, end)
                .getCost(WEIGHTS);
        double naive =
            new ZoneSimulation(bare, settings, new NaivePolicy())
                .run(outages, end)
                .getCost(WEIGHTS);
        double bound = new HindsightBound(bare, settings).getBound(outages, end).getCost(WEIGHTS);
        assertTrue(planned < naive, "seed " + seed + ": " + planned + " " + naive + REPRODUCE);
        assertTrue(bound <= planned, "seed " + seed + ": " + planned + " " + bound + REPRODUCE);
      }
    }
  }

  /** Compares with the best of all plans of small cases. */
  public static class Exhaustive {

    private static final int CASES = 60;
    private static final int MAX_PLANS = 20_000;
    private static final double TARGET = 1.25;

    @Test
    public void staysNearTheBestPlanAndAboveTheBound() {
      double planned = 0;
      double best = 0;
      for (int seed = 0; seed < CASES; seed++) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ZoneShape shape = new ZoneShape(1, 2, 2, 2, random.nextInt(2));
        RepairSettings settings = newSettings(1 + random.nextInt(2));
        List<Outage> outages = drawCase(shape, random);
        double own =
            new ZoneSimulation(shape, settings, newPlanner(settings))
                .run(outages, HOUR_NANOS)
                .getCost(WEIGHTS);
        double least = findBest(shape, settings, outages);
        double bound =
            new HindsightBound(shape, settings).getBound(outages, HOUR_NANOS).getCost(WEIGHTS);
        String text = "seed " + seed + ": " + outages + REPRODUCE;
        assertTrue(bound <= least * (1 + 1e-9), bound + " above " + least + ", " + text);
        planned += own;
        best += least;
      }
      assertTrue(planned <= TARGET * best, planned / best + " times the best plan" + REPRODUCE);
    }

    private static List<Outage> drawCase(ZoneShape shape, UniformRandomProvider random) {
      List<Outage> outages = new ArrayList<>();
      for (int i = 0; i < shape.getInstancesPerDomain(); i++) {
        if (random.nextInt(2) == 0) {
          long start = TimeUnit.SECONDS.toNanos(1 + random.nextInt(1_800));
          int kind = random.nextInt(3);
          long length = kind == 0 ? 1 + random.nextInt(8) : 120 + random.nextInt(360);
          long end = start + TimeUnit.SECONDS.toNanos(kind == 2 ? length * 10 : length);
          outages.add(new Outage(0, i, start, end, kind != 0));
        }
      }
      outages.sort(Comparator.comparingLong(Outage::startNanos));
      return outages;
    }

    private static double findBest(ZoneShape shape, RepairSettings settings, List<Outage> outages) {
      double best = Double.MAX_VALUE;
      List<Integer> script = new ArrayList<>();
      for (int plans = 0; plans < MAX_PLANS; plans++) {
        ScriptedPolicy policy = new ScriptedPolicy(script, settings.loadSlots());
        RepairMeasures measures =
            new ZoneSimulation(shape, settings, policy).run(outages, HOUR_NANOS);
        best = Math.min(best, measures.getCost(WEIGHTS));
        script = getNext(script, policy.getWays());
        if (script.isEmpty()) {
          return best;
        }
      }
      throw new IllegalStateException("more than " + MAX_PLANS + " plans");
    }

    /** Counts up the last choice that has a way left; gets an empty script after the last plan. */
    private static List<Integer> getNext(List<Integer> script, List<Integer> ways) {
      List<Integer> next = new ArrayList<>(script);
      while (next.size() < ways.size()) {
        next.add(0);
      }
      while (!next.isEmpty()) {
        int last = next.size() - 1;
        if (next.get(last) + 1 < ways.get(last)) {
          next.set(last, next.get(last) + 1);
          return next;
        }
        next.remove(last);
      }
      return next;
    }
  }
}
