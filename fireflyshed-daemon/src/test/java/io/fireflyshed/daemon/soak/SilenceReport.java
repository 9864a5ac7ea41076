package io.fireflyshed.daemon.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.soak.BudgetChecks.LateEnd;
import io.fireflyshed.daemon.soak.BudgetChecks.Window;
import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.daemon.soak.SilenceTrial.SilentTime;
import io.fireflyshed.standins.fleet.TargetArrival;
import io.fireflyshed.standins.fleet.TargetStandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Describes the results of a trial with silent targets. */
final class SilenceReport {

  private static final List<String> COUNTED_EVENTS =
      List.of(
          "sent",
          "target answers no health check",
          "health check failed",
          "waits for a target",
          "silent attempt gets a successor",
          "silent attempt goes on");
  private static final Duration LATENCY_TARGET = Duration.ofMillis(142);

  /** The wall-clock time of the origin of {@link System#nanoTime}, in nanoseconds. */
  private final long wallNanos = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

  private final SilenceTrial trial;
  private final BudgetChecks checks;
  private final EntryLogs logs;

  SilenceReport(SilenceTrial trial, BudgetChecks checks) throws IOException {
    this.trial = trial;
    this.checks = checks;
    logs = new EntryLogs(trial.getLives());
  }

  /** Returns the figures of the trial in a few lines. */
  String summarize() {
    Window worst = checks.findWorstWindow();
    List<CallerAttempt> all = trial.getAttempts();
    return String.format(
        "too long %d of %d late repeats, %d over the caller's time; worst window %d of %.0f%n"
            + "  twice at one target %d, orders run twice %s, refused and run %s, wrong"
            + " successes %s%n  lookups %s%n  orders %s%n  health checks at targets %d,"
            + " arrivals %d, entry events %s%n  cases by origin %s%n",
        checks.getLateEnds().size(),
        checks.getLateRepeatCount(),
        checks.getOverlongCount(),
        worst.repeats(),
        worst.allowed(),
        checks.countRevisits(),
        checks.findRepeatedOrders(),
        checks.findRefusedRuns(),
        checks.findFalseSuccesses(),
        summarize(all.stream().filter(a -> a.request().kind() == Kind.LOOKUP).toList()),
        summarize(all.stream().filter(a -> a.request().kind() == Kind.ORDER).toList()),
        trial.getTargets().stream().mapToInt(TargetStandIn::getHealthCheckCount).sum(),
        trial.getTargets().stream().mapToInt(t -> t.getArrivals().size()).sum(),
        logs.countEvents(COUNTED_EVENTS),
        checks.getLateEnds().stream()
            .collect(Collectors.groupingBy(this::classify, TreeMap::new, Collectors.counting())));
  }

  /** Returns the results of attempts and the times of the successful ones, in milliseconds. */
  private static String summarize(List<CallerAttempt> attempts) {
    Map<String, Long> results =
        attempts.stream()
            .collect(
                Collectors.groupingBy(
                    a ->
                        a.answer().isComplete()
                            ? String.valueOf(a.answer().status())
                            : a.answer().end().toString(),
                    TreeMap::new,
                    Collectors.counting()));
    long[] millis =
        attempts.stream()
            .filter(a -> a.answer().isSuccess())
            .mapToLong(a -> Duration.ofNanos(a.endNanos() - a.startNanos()).toMillis())
            .sorted()
            .toArray();
    return String.format(
        "%d %s, ms of successes at 50/90/95/99 of 100: %d/%d/%d/%d; %s",
        attempts.size(),
        results,
        getPercentile(millis, 50),
        getPercentile(millis, 90),
        getPercentile(millis, 95),
        getPercentile(millis, 99),
        summarizeRequests(attempts));
  }

  /** Returns how many requests were served, with the callers' own retries. */
  private static String summarizeRequests(List<CallerAttempt> attempts) {
    Map<String, List<CallerAttempt>> requests =
        attempts.stream().collect(Collectors.groupingBy(a -> a.request().id()));
    long served = 0;
    long inTime = 0;
    for (List<CallerAttempt> request : requests.values()) {
      long start = request.stream().mapToLong(CallerAttempt::startNanos).min().orElseThrow();
      OptionalLong end =
          request.stream()
              .filter(a -> a.answer().isSuccess())
              .mapToLong(CallerAttempt::endNanos)
              .min();
      if (end.isPresent()) {
        served++;
        inTime += end.getAsLong() - start <= LATENCY_TARGET.toNanos() ? 1 : 0;
      }
    }
    return String.format(
        "requests %d, served %d (%.1f %%), in the latency target %d (%.1f %%)",
        requests.size(),
        served,
        100.0 * served / requests.size(),
        inTime,
        100.0 * inTime / requests.size());
  }

  private static long getPercentile(long[] sorted, int percent) {
    return sorted.length == 0 ? -1 : sorted[(sorted.length - 1) * percent / 100];
  }

  /** Names which attempt was read late and when its target fell silent. */
  private String classify(LateEnd end) {
    List<JsonNode> sent = getLines(end.attempt(), "sent");
    for (int i = 0; i < sent.size(); i++) {
      if (sent.get(i).path("target").asText().equals(end.repeat().target())) {
        long sentNanos = toNanos(sent.get(i));
        String when =
            trial.getSilentTimes().stream()
                .filter(s -> s.target().equals(end.repeat().target()))
                .filter(s -> s.untilNanos() - sentNanos > 0)
                .min(Comparator.comparingLong(s -> s.fromNanos()))
                .map(s -> describeOffset(Duration.ofNanos(sentNanos - s.fromNanos())))
                .orElse("with no silence");
        return "attempt " + (i + 1) + " of " + sent.size() + " sent " + when;
      }
    }
    return "no line of its sending";
  }

  private static String describeOffset(Duration offset) {
    long millis = offset.toMillis();
    if (millis < -1000) {
      return "over 1 s before a silence";
    }
    if (millis < 0) {
      return "before a silence";
    }
    if (millis < 25) {
      return "0 to 25 ms into a silence";
    }
    return millis < 125 ? "25 to 125 ms into a silence" : "over 125 ms into a silence";
  }

  private List<JsonNode> getLines(CallerAttempt attempt, String event) {
    return logs.getLines(attempt.id()).stream()
        .filter(line -> event.isEmpty() || line.path("event").asText().equals(event))
        .toList();
  }

  /** Returns the cases of too much time with what targets and entries know of them. */
  List<String> describeLateEnds() {
    return checks.getLateEnds().stream()
        .map(e -> classify(e) + ", " + describe(e.attempt()))
        .toList();
  }

  /** Returns the attempts without a whole answer with what targets and entries know of them. */
  List<String> describeUnanswered() {
    return trial.getAttempts().stream()
        .filter(a -> !a.answer().isComplete())
        .map(this::describe)
        .toList();
  }

  private String describe(CallerAttempt attempt) {
    StringBuilder text = new StringBuilder();
    text.append(attempt.request().kind()).append(' ').append(attempt.id()).append(" at ");
    text.append(attempt.life()).append(" on ").append(attempt.connection());
    text.append("; ms since the caller sent it\n");
    long until = attempt.endNanos();
    for (TargetArrival arrival : checks.getArrivals(attempt)) {
      until = Math.max(until, arrival.nanos());
      text.append(
          String.format(
              "  %5d read by %s, time %s%n",
              toMillis(attempt, arrival.nanos()),
              arrival.target(),
              arrival.time().map(Duration::toMillis).orElse(-1L)));
    }
    for (SilentTime silent : trial.getSilentTimes()) {
      if (silent.untilNanos() - attempt.startNanos() > 0 && silent.fromNanos() - until < 0) {
        text.append(
            String.format(
                "  %5d to %d %s silent%n",
                toMillis(attempt, silent.fromNanos()),
                toMillis(attempt, silent.untilNanos()),
                silent.target()));
      }
    }
    for (JsonNode line : getLines(attempt, "")) {
      text.append(String.format("  %5d %s%n", toMillis(attempt, toNanos(line)), line));
    }
    text.append(String.format("  %5d ", toMillis(attempt, attempt.endNanos())));
    text.append(attempt.answer().end()).append(' ').append(attempt.answer().status());
    return text.append('\n').toString();
  }

  private static long toMillis(CallerAttempt attempt, long nanos) {
    return Duration.ofNanos(nanos - attempt.startNanos()).toMillis();
  }

  private long toNanos(JsonNode line) {
    return EntryLogs.toWallNanos(line) - wallNanos;
  }
}
