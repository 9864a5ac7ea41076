package io.fireflyshed.bench.poison;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.List;

/** Measures the replicas lost to one request, with the list and without it, in the same run. */
public final class PoisonBench implements Command {

  private static final Setting<Integer> RUNS =
      Setting.ofInteger("runs", 1, 10_000, 100, "number of runs, each with its own seed");
  private static final Setting<Integer> SECONDS =
      Setting.ofInteger("seconds", 10, 600, 60, "virtual time of each run");
  private static final Setting<Integer> ENTRIES =
      Setting.ofInteger("entries", 1, 100, 9, "number of entries");
  private static final Setting<Integer> REPLICAS =
      Setting.ofInteger("replicas", 2, 1000, 65, "number of replicas");
  private static final Setting<Integer> INNOCENTS =
      Setting.ofInteger("innocents", 1, 10_000, 300, "innocent requests a second");
  private static final Setting<Integer> RESEND =
      Setting.ofInteger("resend", 1, 60_000, 200, "milliseconds until the request is sent again");
  private static final Setting<Integer> SEED =
      Setting.ofInteger("seed", 0, Integer.MAX_VALUE, 1, "seed of the first run");

  /** Sums over runs. */
  private static final class Totals {
    private int mostLost;
    private double lost;
    private double refused;
    private double failed;
    private double done;

    void add(PoisonRun run) {
      mostLost = Math.max(mostLost, run.getLost());
      lost += run.getLost();
      refused += run.getInnocentRefused();
      failed += run.getInnocentFailed();
      done += run.getInnocentDone();
    }
  }

  @Override
  public String getName() {
    return "bench poison";
  }

  @Override
  public String getSummary() {
    return "Measures the replicas lost to one request that crashes them.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(RUNS, SECONDS, ENTRIES, REPLICAS, INNOCENTS, RESEND, SEED);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Totals ours = new Totals();
    Totals baseline = new Totals();
    int runs = values.get(RUNS);
    for (int i = 0; i < runs; i++) {
      long seed = values.get(SEED) + (long) i;
      ours.add(runOnce(values, true, seed));
      baseline.add(runOnce(values, false, seed));
    }
    Figures figures = new Figures(out);
    figures.print("most-replicas-lost", ours.mostLost, "replicas", baseline.mostLost);
    figures.print("replicas-lost-per-run", ours.lost / runs, "replicas", baseline.lost / runs);
    figures.print("innocent-refused", ours.refused, "requests", baseline.refused);
    figures.print(
        "innocent-failed-per-run", ours.failed / runs, "requests", baseline.failed / runs);
    figures.print("innocent-done-per-run", ours.done / runs, "requests", baseline.done / runs);
    return ours.done > 0 && baseline.done > 0 ? EXIT_OK : EXIT_FAILED;
  }

  private static PoisonRun runOnce(SettingValues values, boolean isListed, long seed) {
    PoisonRun run =
        new PoisonRun(
            isListed, values.get(ENTRIES), values.get(REPLICAS), values.get(RESEND), seed);
    run.run(values.get(INNOCENTS), values.get(SECONDS));
    return run;
  }
}
