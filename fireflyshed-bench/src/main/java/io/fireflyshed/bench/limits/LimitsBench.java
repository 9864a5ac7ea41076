package io.fireflyshed.bench.limits;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.bench.limits.LimitsSimulation.AccountResult;
import io.fireflyshed.bench.limits.LimitsSimulation.Demand;
import io.fireflyshed.coordination.limits.AccountLimit;
import io.fireflyshed.coordination.limits.LimitSettings;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures how exactly the limits of accounts hold over all entries, and what a flood of a large
 * account costs a small one.
 */
public final class LimitsBench implements Command {

  private static final int ENTRIES = 9;
  private static final int SMALL_ACCOUNTS = 7;
  private static final int CAPACITY = 40;
  private static final int NO_BOUND = 1_000_000;
  private static final double LIMIT = 300;
  private static final double SMALL_PER_SECOND = 12;
  private static final double LARGE_PER_SECOND = 90;
  private static final double FLOOD = 10;
  private static final double SKEW = 0.6;
  private static final double MAX_ERROR = 0.05;
  private static final double MAX_P99_RATIO = 1.2;
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration RUN_TIME = Duration.ofSeconds(60);
  private static final Duration WAIT = Duration.ofSeconds(5);
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private static final Setting<Integer> SEED =
      Setting.ofInteger("seed", 1, 1_000_000, 1, "seed of the workload and the faults");

  private static final Setting<Integer> SECONDS =
      Setting.ofInteger("seconds", 30, 600, 60, "simulated length of a run");

  @Override
  public String getName() {
    return "bench limits";
  }

  @Override
  public String getSummary() {
    return "Measures the exactness of limits and the isolation of small accounts.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, SECONDS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    Duration length = Duration.ofSeconds(values.get(SECONDS));
    int seed = values.get(SEED);
    boolean isMet = measureLimit(figures, seed, length);
    isMet &= measureCut(figures, seed, length);
    isMet &= measureFlood(figures, seed, length);
    out.println(
        "target "
            + (isMet ? "met" : "missed")
            + ": limit error <= 0.05, excess while cut off = 0, small account's p99 <= 1.2");
    return EXIT_OK;
  }

  /** Measures the error of the limit with demand above it, spread evenly or on one entry. */
  private static boolean measureLimit(Figures figures, int seed, Duration length) {
    boolean isMet = true;
    for (double skew : new double[] {0, SKEW, 1}) {
      LimitsSimulation simulation = newSimulation(seed, limited(), NO_BOUND, length);
      AccountResult result =
          simulation.run(List.of(new Demand("large-0", 2 * LIMIT, newParts(skew)))).get("large-0");
      double rate = result.getRate(WARM_UP.toNanos(), length.toNanos());
      double fixed = Math.min(1, getFixedPart(skew)) * LIMIT;
      String suffix = "-skew-" + Math.round(skew * 100);
      figures.print("limits-rate" + suffix, rate, "requests/s", fixed);
      figures.print("limits-error" + suffix, Math.abs(rate - LIMIT) / LIMIT, "of-limit");
      figures.print("limits-notices" + suffix, simulation.getNoticesPerSecond(), "1/s-entry");
      isMet &= Math.abs(rate - LIMIT) <= MAX_ERROR * LIMIT;
    }
    return isMet;
  }

  /** Measures the rate while all entries are cut off from each other. */
  private static boolean measureCut(Figures figures, int seed, Duration length) {
    LimitsSimulation simulation = newSimulation(seed, limited(), NO_BOUND, length);
    Duration cut = length.dividedBy(2);
    simulation.cutFrom(cut);
    AccountResult result =
        simulation.run(List.of(new Demand("large-0", 4 * LIMIT, newParts(SKEW)))).get("large-0");
    double most = 0;
    Duration window = WINDOW.multipliedBy(5);
    for (long t = cut.toNanos(); t + window.toNanos() < length.toNanos(); t += WINDOW.toNanos()) {
      most = Math.max(most, result.getRate(t, t + window.toNanos()));
    }
    double rate = result.getRate(cut.toNanos(), length.toNanos());
    figures.print("limits-cut-rate", rate, "requests/s", LIMIT);
    figures.print("limits-cut-rate-max-5s", most, "requests/s", LIMIT);
    double burst = LIMIT * WINDOW.toSeconds() / window.toSeconds();
    return rate <= LIMIT && most <= LIMIT + burst;
  }

  /** Measures a small account alone among usual load and under a flood of a large one. */
  private static boolean measureFlood(Figures figures, int seed, Duration length) {
    Map<String, AccountResult> usual =
        newSimulation(seed, unlimited(), CAPACITY, length).run(newDemands(1));
    Map<String, AccountResult> flood =
        newSimulation(seed, unlimited(), CAPACITY, length).run(newDemands(FLOOD));
    Map<String, AccountResult> alone =
        newSimulation(seed, unlimited(), CAPACITY, length).run(newDemands(0));
    double small = getWorstP99(flood);
    figures.print("limits-small-p99-usual-load", getWorstP99(usual), "ms");
    figures.print("limits-small-p99-flood", small, "ms", getWorstP99(alone));
    figures.print("limits-large-p99-flood", flood.get("large-0").getP99Millis(), "ms");
    return small <= MAX_P99_RATIO * getWorstP99(alone);
  }

  private static double getWorstP99(Map<String, AccountResult> results) {
    return results.entrySet().stream()
        .filter(e -> e.getKey().startsWith("small"))
        .mapToDouble(e -> e.getValue().getP99Millis())
        .average()
        .orElseThrow();
  }

  private static LimitsSimulation newSimulation(
      int seed, List<AccountLimit> limits, int capacity, Duration length) {
    LimitSettings settings = LimitSettings.of(limits, ENTRIES, LEASE, RUN_TIME, WAIT, 1_000);
    UniformRandomProvider rng = RandomSource.XO_SHI_RO_256_PP.create((long) seed);
    return new LimitsSimulation(rng, ENTRIES, settings, capacity, WARM_UP, length);
  }

  private static List<AccountLimit> limited() {
    return List.of(new AccountLimit("large-0", 1, LIMIT, 0));
  }

  private static List<AccountLimit> unlimited() {
    return List.of();
  }

  /** Makes the demands of ten accounts; a factor multiplies that of the first large one. */
  private static List<Demand> newDemands(double factor) {
    List<Demand> demands = new ArrayList<>();
    for (int i = 0; i < SMALL_ACCOUNTS; i++) {
      demands.add(new Demand("small-" + i, SMALL_PER_SECOND, newParts(0)));
    }
    if (factor > 0) {
      demands.add(new Demand("large-0", LARGE_PER_SECOND * factor, newParts(0)));
      demands.add(new Demand("large-1", LARGE_PER_SECOND, newParts(0)));
      demands.add(new Demand("large-2", LARGE_PER_SECOND, newParts(0)));
    }
    return demands;
  }

  /** Gets the part of the demand at each entry; the skew goes to the first one. */
  private static double[] newParts(double skew) {
    double[] parts = new double[ENTRIES];
    Arrays.fill(parts, (1 - skew) / ENTRIES);
    parts[0] += skew;
    return parts;
  }

  /** Gets the part of the limit that equal shares which never move would let through. */
  private static double getFixedPart(double skew) {
    double sum = 0;
    for (double part : newParts(skew)) {
      sum += Math.min(1.0 / ENTRIES, 2 * part);
    }
    return sum;
  }
}
