package io.fireflyshed.bench.drain;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures the time from the first sign that an instance leaves to the last moment at which any
 * entry would send its replica new work. The baseline trusts the platform's list only.
 */
public final class DrainCommand implements Command {

  private static final long TARGET_MILLIS = 2_000;

  private static final Setting<Integer> SEED =
      Setting.ofInteger(
          "seed", 0, Integer.MAX_VALUE, 1, "seed of the order and the moments of leaving");

  private static final Setting<Integer> REPLICAS =
      Setting.ofInteger("replicas", 1, 128, 32, "replicas of two instances, one of which leaves");

  private static final Setting<Integer> ENTRIES =
      Setting.ofInteger("entries", 1, 8, 3, "entries of each kind");

  private static final Setting<Duration> LIST_LAG =
      Setting.ofDuration("list-lag", "30s", "lag of the instance list");

  @Override
  public String getName() {
    return "bench drain";
  }

  @Override
  public String getSummary() {
    return "Measures how soon instances that leave get no new work from any entry.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, REPLICAS, ENTRIES, LIST_LAG);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Figures figures = new Figures(out);
    try (DrainTrial trial =
        new DrainTrial(
            values.get(REPLICAS), values.get(ENTRIES), values.get(LIST_LAG), values.get(SEED))) {
      if (!trial.run()) {
        out.println("invalid run: a replica did not open or close, or the machine stalled");
        return EXIT_FAILED;
      }
      Histogram entries = trial.getEntryMillis();
      Histogram baseline = trial.getBaselineMillis();
      for (double percentile : new double[] {50, 99, 100}) {
        figures.print(
            "drain-last-new-work-p" + (int) percentile,
            entries.getValueAtPercentile(percentile),
            "ms",
            baseline.getValueAtPercentile(percentile));
      }
      figures.print("drain-samples", entries.getTotalCount(), "leavings");
      boolean isMet = entries.getValueAtPercentile(99) <= TARGET_MILLIS;
      out.println("target p99 <= " + TARGET_MILLIS + " ms: " + (isMet ? "met" : "missed"));
      return EXIT_OK;
    }
  }
}
