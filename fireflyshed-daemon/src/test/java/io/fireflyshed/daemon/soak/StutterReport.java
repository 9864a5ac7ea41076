package io.fireflyshed.daemon.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import io.fireflyshed.daemon.soak.StutteringTarget.Answer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Compares what callers received with what targets recorded. */
final class StutterReport {

  private static final List<String> COUNTED_EVENTS =
      List.of("sent", "responded", "surplus bytes", "malformed response", "attempt failed");

  private final StutterTrial trial;
  private final List<CallerAttempt> attempts;
  private final Map<String, StutteringTarget> targetsBySignature;
  private final Map<String, List<Answer>> answersById;
  private final EntryLogs logs;

  StutterReport(StutterTrial trial) throws IOException {
    this.trial = trial;
    attempts = trial.getAttempts();
    targetsBySignature =
        trial.getTargets().stream()
            .collect(Collectors.toMap(StutteringTarget::getSignature, Function.identity()));
    answersById =
        trial.getTargets().stream()
            .flatMap(t -> t.getAnswers().stream())
            .collect(Collectors.groupingBy(Answer::id));
    logs = new EntryLogs(trial.getLives());
  }

  /** Finds successes that are not those of the target that signed them. */
  List<CallerAttempt> findWrongSuccesses() {
    Map<String, Map<String, List<Answer>>> answers =
        targetsBySignature.entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    e ->
                        e.getValue().getAnswers().stream()
                            .collect(Collectors.groupingBy(Answer::id))));
    return attempts.stream()
        .filter(a -> a.answer().status() / 100 == 2)
        .filter(
            a ->
                answers
                    .getOrDefault(getSignature(a), Map.of())
                    .getOrDefault(a.id(), List.of())
                    .stream()
                    .noneMatch(written -> isEqual(a, written)))
        .toList();
  }

  private static String getSignature(CallerAttempt attempt) {
    return attempt.answer().headers().getOrDefault("x-replica-signature", "");
  }

  private static boolean isEqual(CallerAttempt attempt, Answer written) {
    CallerAnswer answer = attempt.answer();
    return written.isSuccess()
        && answer.headers().getOrDefault("x-attempt-id", "").equals(written.id())
        && (!answer.isComplete() || answer.body().equals(getExpectedBody(attempt, written)));
  }

  /** Returns the whole body, whose events may come from several targets. */
  private static String getExpectedBody(CallerAttempt attempt, Answer written) {
    return written.kind() == Kind.STREAM
        ? attempt.request().getExpectedBody(attempt.id())
        : written.body();
  }

  /** Finds orders that ran more than once. */
  List<String> findRepeatedOrders() {
    return answersById.entrySet().stream()
        .filter(e -> e.getValue().size() > 1 && e.getValue().get(0).kind() == Kind.ORDER)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Finds refused orders that ran. */
  List<String> findRefusedRuns() {
    return attempts.stream()
        .filter(a -> a.request().kind() == Kind.ORDER && a.answer().isRefusal())
        .map(CallerAttempt::id)
        .filter(answersById::containsKey)
        .toList();
  }

  /** Returns the figures of the trial in a few lines. */
  String summarize() {
    List<CallerAttempt> lookups = filter(a -> a.request().kind() == Kind.LOOKUP);
    List<CallerAttempt> orders = filter(a -> a.request().kind() == Kind.ORDER);
    List<CallerAttempt> streams = filter(a -> a.request().kind() == Kind.STREAM);
    List<CallerAttempt> servable =
        lookups.stream()
            .filter(a -> answersById.containsKey(a.id()))
            .filter(a -> answersById.get(a.id()).stream().allMatch(Answer::isSuccess))
            .toList();
    return String.format(
        "lookups %d %s, orders %d %s, streams %d %s%n"
            + "  wrong successes %d %s, orders run twice %s, refused and run %s%n"
            + "  connections for a lookup at stuttering targets %s, at sound ones %s%n"
            + "  served of the lookups that no target failed %.2f %% of %d%n  events %s%n",
        lookups.size(),
        countResults(lookups),
        orders.size(),
        countResults(orders),
        streams.size(),
        countResults(streams),
        findWrongSuccesses().size(),
        count(findWrongSuccesses(), this::describeOrigin),
        findRepeatedOrders(),
        findRefusedRuns(),
        describeConnections(t -> !t.isSound()),
        describeConnections(StutteringTarget::isSound),
        100.0 * servable.stream().filter(a -> a.answer().isSuccess()).count() / servable.size(),
        servable.size(),
        logs.countEvents(COUNTED_EVENTS));
  }

  /** Names the entries of a wrong success and what tells the hypotheses about it apart. */
  private String describeOrigin(CallerAttempt attempt) {
    String target = getSignature(attempt).replaceFirst("^s[.]", "");
    List<JsonNode> sent =
        getLines(attempt, "sent").filter(l -> l.path("target").asText().endsWith(target)).toList();
    String reader =
        sent.isEmpty()
            ? "unknown"
            : trial.getLives().stream()
                .filter(l -> l.toString().equals(sent.get(0).path(EntryLogs.PROCESS).asText()))
                .map(this::describeVersion)
                .findFirst()
                .orElseThrow();
    String earlierRequests =
        getLines(attempt, "responded")
            .map(l -> l.path("earlier_requests").asInt() > 0 ? "used" : "new")
            .findFirst()
            .orElse("unknown");
    boolean hasStatusLine =
        attempt.answer().headers().values().stream().anyMatch(v -> v.contains("HTTP/1."));
    return String.format(
        "%s at %s, read by %s, sent to the target %d times, connection %s%s",
        attempt.request().kind(),
        describeVersion(attempt.life()),
        reader,
        sent.size(),
        earlierRequests,
        hasStatusLine ? ", status line in a header" : "");
  }

  private String describeVersion(EntryLife life) {
    return trial.isEarlier(life) ? "earlier" : "current";
  }

  private Stream<JsonNode> getLines(CallerAttempt attempt, String event) {
    return logs.getLines(attempt.id()).stream().filter(l -> l.path("event").asText().equals(event));
  }

  private List<CallerAttempt> filter(Predicate<CallerAttempt> condition) {
    return attempts.stream().filter(condition).toList();
  }

  private static Map<String, Long> countResults(List<CallerAttempt> attempts) {
    return count(attempts, StutterReport::describeResult);
  }

  private static String describeResult(CallerAttempt attempt) {
    CallerAnswer answer = attempt.answer();
    return answer.isComplete() ? String.valueOf(answer.status()) : answer.end().toString();
  }

  private static Map<String, Long> count(
      List<CallerAttempt> attempts, Function<CallerAttempt, String> toGroup) {
    return attempts.stream()
        .collect(Collectors.groupingBy(toGroup, TreeMap::new, Collectors.counting()));
  }

  private String describeConnections(Predicate<StutteringTarget> condition) {
    long connections = 0;
    long lookups = 0;
    for (StutteringTarget target : targetsBySignature.values()) {
      if (condition.test(target)) {
        List<Answer> answers =
            target.getAnswers().stream().filter(a -> a.kind() == Kind.LOOKUP).toList();
        lookups += answers.size();
        connections += answers.stream().mapToInt(Answer::connection).distinct().count();
      }
    }
    return String.format("%.3f of %d", (double) connections / Math.max(1, lookups), lookups);
  }

  /** Returns the wrong successes with what targets and entries know of them. */
  List<String> describeWrongSuccesses() {
    List<String> texts = new ArrayList<>();
    for (CallerAttempt attempt : findWrongSuccesses()) {
      StringBuilder text = new StringBuilder();
      text.append(attempt.id()).append(" at ").append(attempt.life());
      text.append(" got ").append(attempt.answer()).append('\n');
      for (Answer written : answersById.getOrDefault(attempt.id(), List.of())) {
        text.append("  ").append(written).append('\n');
      }
      logs.getLines(attempt.id()).forEach(line -> text.append("  ").append(line).append('\n'));
      texts.add(text.toString());
    }
    return texts;
  }

  /** Returns the lines of a request whose response was refused, empty if there is none. */
  Optional<String> describeRefusal() {
    return attempts.stream()
        .filter(a -> getLines(a, "malformed response").findAny().isPresent())
        .findFirst()
        .map(
            a ->
                logs.getLines(a.id()).stream()
                    .map(Object::toString)
                    .collect(Collectors.joining("\n")));
  }
}
