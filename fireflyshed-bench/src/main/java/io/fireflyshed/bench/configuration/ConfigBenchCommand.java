package io.fireflyshed.bench.configuration;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.configuration.CommitOutcome;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import io.fireflyshed.protocol.configuration.ConfigurationDocument;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.transport.configuration.ConfigurationCommitter;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the time from the acceptance of a configuration until it is in force, at nine running
 * entries and, in virtual time, in the zones of a large site, against every process reading the
 * table service by itself.
 */
public final class ConfigBenchCommand implements Command {

  private static final Setting<Long> SEED =
      Setting.of("seed", "a number", "1", "seed of the schedule", Long::parseLong);

  private static final Setting<Integer> CHANGES =
      Setting.ofInteger("changes", 1, 10_000, 40, "how many changes the nine entries get");

  private static final Setting<Integer> ROUNDS =
      Setting.ofInteger("rounds", 1, 10_000, 100, "how many changes the large site gets");

  private static final int ACCOUNTS = 200;
  private static final int ENTRIES = 9;
  private static final double MAX_MILLIS_NINE = 1_000;
  private static final double MAX_MILLIS_LARGE = 6_000;
  private static final int LARGE_ZONES = 36;
  private static final int LARGE_PER_ZONE = 89;
  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final int PERCENT_99 = 99;

  @Override
  public String getName() {
    return "bench config";
  }

  @Override
  public String getSummary() {
    return "Measures the time from acceptance to in force.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(SEED, CHANGES, ROUNDS);
  }

  @Override
  public int run(SettingValues values, PrintStream out) throws InterruptedException {
    Figures figures = new Figures(out);
    Spread ours = runEntries(values, true);
    Spread alone = runEntries(values, false);
    double p99 = ours.millis().getValueAtPercentile(PERCENT_99);
    figures.print(
        "in-force-at-nine-p50",
        ours.millis().getValueAtPercentile(50),
        "ms",
        alone.millis().getValueAtPercentile(50));
    figures.print(
        "in-force-at-nine-p99", p99, "ms", alone.millis().getValueAtPercentile(PERCENT_99));
    figures.print("store-reads-at-nine", ours.readsPerSecond(), "1/s", alone.readsPerSecond());
    LargeSite large =
        new LargeSite(values.get(SEED), LARGE_ZONES, LARGE_PER_ZONE, values.get(ROUNDS));
    large.run();
    double largeP99 = large.getMillis().getValueAtPercentile(PERCENT_99);
    figures.print("in-force-at-3200-p50", large.getMillis().getValueAtPercentile(50), "ms");
    figures.print("in-force-at-3200-p99", largeP99, "ms", MAX_MILLIS_LARGE);
    figures.print(
        "store-reads-at-3200", large.getReadsPerSecond(), "1/s", large.getReadsPerSecondAlone());
    return p99 <= MAX_MILLIS_NINE && largeP99 <= MAX_MILLIS_LARGE ? EXIT_OK : EXIT_FAILED;
  }

  /** What was measured of running entries. */
  private record Spread(Histogram millis, double readsPerSecond) {}

  private static Spread runEntries(SettingValues values, boolean hasPeers)
      throws InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(values.get(SEED));
    Histogram millis = new Histogram(2);
    try (EntryGroup group = new EntryGroup(ENTRIES, hasPeers)) {
      ConfigurationCommitter committer =
          new ConfigurationCommitter(group.getStore(), Runnable::run);
      group.awaitPeers(LIMIT);
      long startNanos = System.nanoTime();
      long readsBefore = group.getReads();
      for (long version = 1; version <= values.get(CHANGES); version++) {
        Thread.sleep(random.nextInt(600));
        String text = newText(version);
        CommitOutcome outcome =
            committer.apply(version - 1, "a" + version, "bench", text, "change").join();
        long acceptedNanos = System.nanoTime();
        if (!(outcome instanceof CommitOutcome.Accepted)) {
          throw new IllegalStateException("not accepted: " + outcome);
        }
        long lastNanos = group.awaitVersion(version, LIMIT);
        millis.recordValue(Math.max(0, (lastNanos - acceptedNanos) / 1_000_000));
      }
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      return new Spread(millis, (group.getReads() - readsBefore) / seconds);
    }
  }

  private static String newText(long version) {
    StringBuilder accounts = new StringBuilder();
    for (int i = 0; i < ACCOUNTS; i++) {
      accounts.append(i == 0 ? "" : ",").append("\"account-").append(i).append("\":{\"keys\":[]}");
    }
    String base = "{\"accounts\":{" + accounts + "},\"services\":{\"v\":" + version + "}}";
    return new ConfigurationDocument(JsonUtils.parse(base), new TreeMap<>()).toText();
  }
}
