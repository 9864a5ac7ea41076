package io.fireflyshed.bench.relay;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.apache.commons.math3.stat.descriptive.rank.Median;

/** Measures an entry beside a bare pass-through and a direct call, in the same run. */
public final class RelayBench implements Command {

  private static final Setting<Duration> TIME =
      Setting.ofDuration("time", "1s", "length of each round");

  private static final Setting<Integer> TOKENS =
      Setting.ofInteger("tokens", 1, 4096, 64, "tokens in each answer");

  private static final Setting<Integer> CONCURRENCY =
      Setting.ofInteger("concurrency", 1, 512, 64, "requests in flight in the throughput part");

  private static final int ROUNDS = 12;
  private static final int WARM_UP_ROUNDS = 5;
  private static final Duration TOKEN_INTERVAL = Duration.ofMillis(5);
  private static final int SESSIONS_CONCURRENCY = 512;

  @Override
  public String getName() {
    return "bench relay";
  }

  @Override
  public String getSummary() {
    return "Measures what an entry adds to a stream.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(TIME, TOKENS, CONCURRENCY);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    int tokens = values.get(TOKENS);
    try (RelaySite fast = new RelaySite(tokens, Duration.ZERO);
        RelaySite paced = new RelaySite(tokens, TOKEN_INTERVAL)) {
      Part throughput = new Part("full-speed", fast, values.get(CONCURRENCY), values.get(TIME));
      Part sessions = new Part("paced", paced, SESSIONS_CONCURRENCY, values.get(TIME));
      boolean isValid = throughput.measure(figures) & sessions.measure(figures);
      isValid &= measureLatency(fast, throughput.getBareRate() / 2, values.get(TIME), figures);
      return isValid ? EXIT_OK : EXIT_FAILED;
    }
  }

  private static boolean measureLatency(
      RelaySite site, double rate, Duration time, Figures figures) {
    LoadResult direct = site.newRun(site.getEngine()).runOpen(rate, time);
    LoadResult bare = site.newRun(site.getBare()).runOpen(rate, time);
    LoadResult entry = site.newRun(site.getEntry()).runOpen(rate, time);
    for (double percentile : new double[] {50, 99}) {
      String name = "added-latency-p" + (int) percentile;
      double base = toMillis(direct, percentile);
      figures.print(
          name, toMillis(entry, percentile) - base, "ms", toMillis(bare, percentile) - base);
    }
    return direct.failures() + bare.failures() + entry.failures() == 0;
  }

  private static double toMillis(LoadResult result, double percentile) {
    return result.latency().getValueAtPercentile(percentile) / 1000.0;
  }

  /** Compares the throughput and the processor time of the three ways. */
  private static final class Part {

    private final String name;
    private final RelaySite site;
    private final int concurrency;
    private final Duration time;
    private double bareRate;

    Part(String name, RelaySite site, int concurrency, Duration time) {
      this.name = name;
      this.site = site;
      this.concurrency = concurrency;
      this.time = time;
    }

    double getBareRate() {
      return bareRate;
    }

    boolean measure(Figures figures) {
      List<LoadResult> direct = new ArrayList<>();
      List<LoadResult> bare = new ArrayList<>();
      List<LoadResult> entry = new ArrayList<>();
      for (int round = 0; round < ROUNDS; round++) {
        direct.add(site.newRun(site.getEngine()).runClosed(concurrency, time));
        bare.add(site.newRun(site.getBare()).runClosed(concurrency, time));
        entry.add(site.newRun(site.getEntry()).runClosed(concurrency, time));
      }
      bareRate = getMedian(bare, LoadResult::getRequestsPerSecond);
      double entryRate = getMedian(entry, LoadResult::getRequestsPerSecond);
      double directRate = getMedian(direct, LoadResult::getRequestsPerSecond);
      int tokens = site.getTokens();
      figures.print(name + "-requests", entryRate, "1/s", bareRate);
      figures.print(name + "-tokens", entryRate * tokens, "1/s", bareRate * tokens);
      figures.print(name + "-direct-requests", directRate, "1/s", bareRate);
      double base = getMedian(direct, this::toMicrosPerToken);
      figures.print(
          name + "-added-cpu",
          getMedian(entry, this::toMicrosPerToken) - base,
          "us/token",
          getMedian(bare, this::toMicrosPerToken) - base);
      return Stream.of(direct, bare, entry)
          .flatMap(List::stream)
          .allMatch(r -> r.failures() == 0 && r.requests() > 0);
    }

    private static double getMedian(
        List<LoadResult> rounds, ToDoubleFunction<LoadResult> function) {
      double[] values = rounds.stream().skip(WARM_UP_ROUNDS).mapToDouble(function).toArray();
      return new Median().evaluate(values);
    }

    private double toMicrosPerToken(LoadResult result) {
      return result.cpuSeconds() * 1e6 / result.requests() / site.getTokens();
    }
  }
}
