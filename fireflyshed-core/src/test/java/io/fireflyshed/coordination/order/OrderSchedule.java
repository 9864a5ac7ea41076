package io.fireflyshed.coordination.order;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.faults.FaultKind;
import io.fireflyshed.faults.FaultPlan;
import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the {@link OrderLedger}s of several processes with a table service and a desk that fail
 * at steps drawn from a seed. Checks which orders the desk ran and which replies the callers got.
 */
public final class OrderSchedule {

  /** A defect injected into the code around a ledger, which the checks must detect. */
  public enum Defect {
    /** No defect. */
    NONE,
    /** Reports a dispatch with an unknown outcome as not run. */
    RETRY_AFTER_UNKNOWN,
    /** Reports a claim as committed as soon as its transaction is sent. */
    CLAIM_NOT_AWAITED,
    /** Returns each stored claim as if the attempt that reads it held it. */
    ATTEMPT_IGNORED
  }

  private static final OrderSettings SETTINGS =
      new OrderSettings(
          Duration.ofMillis(50), 4, 2, 100, Duration.ofSeconds(2), Duration.ofMillis(100), 2);
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long FAULTS_END_NANOS = 12_000 * NANOS_PER_MILLI;
  private static final long END_NANOS = 40_000 * NANOS_PER_MILLI;
  private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;
  private static final long REQUEST_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;
  private static final String DISPATCH_STEP = "dispatch to the desk";
  private static final int PROCESS_COUNT = 3;
  private static final int KEY_COUNT = 3;
  private static final int OTHER_BODY_PERCENT = 8;

  private record Event(long timeNanos, long sequence, Runnable task) {}

  /** One run of a process. */
  private static final class Process {
    final String name;
    final OrderLedger ledger;
    final Map<String, Integer> requestsInFlight = new TreeMap<>();
    boolean isDead;
    long pausedUntilNanos;

    /** Returns the steps of the requests in flight. */
    Set<String> getSteps() {
      return requestsInFlight.isEmpty() ? Set.of("no request pending") : requestsInFlight.keySet();
    }

    Process(String name) {
      this.name = name;
      this.ledger = new OrderLedger(SETTINGS, name);
    }
  }

  private record Submission(OrderKey key, String digest, Process process) {}

  private final UniformRandomProvider random;
  private final Defect defect;
  private final FaultPlan plan;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.timeNanos() != b.timeNanos()
                  ? Long.compare(a.timeNanos(), b.timeNanos())
                  : Long.compare(a.sequence(), b.sequence()));
  private final List<Process> processes = new ArrayList<>();
  private final Map<OrderKey, StoredClaim> claims = new HashMap<>();
  private final Map<String, List<OrderResult>> resultRows = new HashMap<>();
  private final Map<OrderKey, List<String>> digestsRun = new HashMap<>();
  private final Map<OrderKey, String> responses = new HashMap<>();
  private final Set<String> attemptsRun = new HashSet<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<Long, OrderReply> replies = new HashMap<>();
  private final Map<Long, Set<String>> attemptsBySubmission = new HashMap<>();
  private final Set<Long> lateSubmissions = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private long nowNanos;
  private long nextSequence;
  private long nextVersion = 1;
  private long nextSubmission = 1;
  private int killedProcesses;

  OrderSchedule(long seed, Defect defect) {
    this(seed, defect, FaultPlan.ofAll());
  }

  /** Creates a schedule that injects the faults of a plan. */
  public OrderSchedule(long seed, Defect defect, FaultPlan plan) {
    this.plan = plan;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and returns the violations, empty if there are none. */
  public List<String> run() {
    for (int i = 0; i < PROCESS_COUNT; i++) {
      processes.add(new Process("p" + i));
    }
    for (int keyIndex = 0; keyIndex < KEY_COUNT; keyIndex++) {
      OrderKey key = new OrderKey(new ServiceName("desk"), "salon", "order-" + keyIndex);
      int submissionCount = 1 + random.nextInt(4);
      for (int i = 0; i < submissionCount; i++) {
        String digest = random.nextInt(100) < OTHER_BODY_PERCENT ? "other" : "body";
        scheduleAt(random.nextLong(6_000) * NANOS_PER_MILLI, () -> submit(key, digest, false));
      }
      scheduleAt(FAULTS_END_NANOS + 8_000 * NANOS_PER_MILLI, () -> submit(key, "body", true));
      scheduleAt(FAULTS_END_NANOS + 12_000 * NANOS_PER_MILLI, () -> submit(key, "body", true));
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      scheduleAt(random.nextLong(6_000) * NANOS_PER_MILLI, this::killRandomProcess);
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      scheduleAt(random.nextLong(6_000) * NANOS_PER_MILLI, this::pauseRandomProcess);
    }
    scheduleAt(TICK_NANOS, this::tick);
    while (!events.isEmpty() && events.peek().timeNanos() <= END_NANOS) {
      Event event = events.remove();
      nowNanos = event.timeNanos();
      event.task().run();
    }
    check();
    return violations;
  }

  private void scheduleAt(long timeNanos, Runnable task) {
    events.add(new Event(timeNanos, nextSequence++, task));
  }

  private void scheduleAfter(long delayNanos, Runnable task) {
    scheduleAt(nowNanos + delayNanos, task);
  }

  private void tick() {
    processes.forEach(process -> deliver(process, () -> process.ledger.tick(nowNanos)));
    scheduleAfter(TICK_NANOS, this::tick);
  }

  private void killRandomProcess() {
    int index = random.nextInt(PROCESS_COUNT);
    if (!recordFault(processes.get(index), FaultKind.ENTRY_DIES)) {
      return;
    }
    processes.get(index).isDead = true;
    processes.set(index, new Process("p" + index + "-" + ++killedProcesses));
  }

  private void pauseRandomProcess() {
    Process process = processes.get(random.nextInt(PROCESS_COUNT));
    long untilNanos = nowNanos + random.nextLong(8_000) * NANOS_PER_MILLI;
    if (recordFault(process, FaultKind.ENTRY_PAUSES)) {
      process.pausedUntilNanos = untilNanos;
    }
  }

  /** Records a fault at every step of a process and tests whether the fault is enabled. */
  private boolean recordFault(Process process, FaultKind kind) {
    process.getSteps().forEach(step -> plan.strikes(step, kind, true));
    return plan.isEnabled(kind);
  }

  private void submit(OrderKey key, String digest, boolean isLate) {
    Process process = processes.get(random.nextInt(PROCESS_COUNT));
    long number = nextSubmission++;
    submissions.put(number, new Submission(key, digest, process));
    if (isLate) {
      lateSubmissions.add(number);
    }
    deliver(process, () -> process.ledger.submit(nowNanos, number, key, digest));
  }

  /** Delivers an event to a process unless it is dead; a paused process handles it on resuming. */
  private void deliver(Process process, java.util.function.Supplier<List<OrderAction>> event) {
    if (process.isDead) {
      return;
    }
    if (process.pausedUntilNanos > nowNanos) {
      scheduleAt(process.pausedUntilNanos, () -> deliver(process, event));
      return;
    }
    List<OrderAction> actions = event.get();
    shareAttemptsOfNotRunReplies(actions);
    actions.forEach(action -> perform(process, action));
  }

  private void perform(Process process, OrderAction action) {
    if (action instanceof OrderAction.CommitClaims commitClaims) {
      commit(process, commitClaims);
    } else if (action instanceof OrderAction.CommitResults commitResults) {
      request(
          process,
          "record results",
          () ->
              commitResults
                  .resultsByGroup()
                  .forEach(
                      (group, results) ->
                          resultRows.put(group + "/" + commitResults.batch(), results)),
          outcome ->
              deliver(
                  process,
                  () ->
                      process.ledger.onResultsEnded(
                          nowNanos, commitResults.batch(), outcome == Outcome.RAN)));
    } else if (action instanceof OrderAction.ReadClaim readClaim) {
      readClaim(process, readClaim);
    } else if (action instanceof OrderAction.ReadResult readResult) {
      readResult(process, readResult);
    } else if (action instanceof OrderAction.Dispatch dispatch) {
      dispatch(process, dispatch);
    } else if (action instanceof OrderAction.Answer answer) {
      if (replies.put(answer.submission(), answer.reply()) != null) {
        violations.add("two replies to submission " + answer.submission());
      }
    }
  }

  private boolean drawFault(int percent) {
    return nowNanos < FAULTS_END_NANOS && random.nextInt(100) < percent;
  }

  private long drawDelayNanos(String step) {
    boolean isSlow = plan.strikes(step, FaultKind.STORE_SLOW, drawFault(10));
    return (1 + random.nextLong(isSlow ? 400 : 20)) * NANOS_PER_MILLI;
  }

  /**
   * Sends a request whose effect or response may be lost or late. The receiver gets {@link
   * Outcome#RAN} if the response arrives, also if it reports a conflict.
   */
  private void request(Process process, String step, Runnable effect, Consumer<Outcome> receiver) {
    process.requestsInFlight.merge(step, 1, Integer::sum);
    Consumer<Outcome> respond =
        outcome -> {
          process.requestsInFlight.computeIfPresent(
              step, (s, count) -> count == 1 ? null : count - 1);
          receiver.accept(outcome);
        };
    FaultKind refusal =
        step.equals(DISPATCH_STEP) ? FaultKind.TARGET_REFUSES : FaultKind.STORE_DOWN;
    if (plan.strikes(step, refusal, drawFault(8))) {
      scheduleAfter(drawDelayNanos(step), () -> respond.accept(Outcome.NOT_RUN));
    } else if (plan.strikes(step, FaultKind.ANSWER_LOST, drawFault(25))) {
      int effectKind = random.nextInt(3); // 0: no effect, 1: effect in time, 2: late effect
      if (effectKind != 0) {
        long delayNanos =
            effectKind == 1 ? drawDelayNanos(step) : random.nextLong(6_000) * NANOS_PER_MILLI;
        scheduleAfter(delayNanos, effect);
      }
      scheduleAfter(REQUEST_TIMEOUT_NANOS, () -> respond.accept(Outcome.UNKNOWN));
    } else {
      scheduleAfter(
          drawDelayNanos(step),
          () -> {
            effect.run();
            scheduleAfter(drawDelayNanos(step), () -> respond.accept(Outcome.RAN));
          });
    }
  }

  private void commit(Process process, OrderAction.CommitClaims action) {
    Set<OrderKey> conflicts = new HashSet<>();
    boolean[] isApplied = new boolean[1];
    Runnable effect =
        () -> {
          action.claims().stream()
              .filter(write -> !hasExpectedVersion(write))
              .forEach(write -> conflicts.add(write.claim().key()));
          isApplied[0] = conflicts.isEmpty();
          if (isApplied[0]) {
            action
                .claims()
                .forEach(
                    write ->
                        claims.put(
                            write.claim().key(), new StoredClaim(write.claim(), nextVersion++)));
          }
        };
    request(
        process,
        "commit claims",
        effect,
        outcome ->
            deliver(
                process,
                () ->
                    onCommit(process.ledger, action.transaction(), outcome, isApplied, conflicts)));
    if (defect == Defect.CLAIM_NOT_AWAITED) {
      deliver(process, () -> process.ledger.onClaimsCommitted(nowNanos, action.transaction()));
    }
  }

  private List<OrderAction> onCommit(
      OrderLedger ledger,
      long transaction,
      Outcome outcome,
      boolean[] isApplied,
      Set<OrderKey> conflicts) {
    return switch (outcome) {
      case NOT_RUN -> ledger.onClaimsRefused(nowNanos, transaction);
      case UNKNOWN -> ledger.onClaimsUnknown(nowNanos, transaction);
      case RAN ->
          isApplied[0]
              ? ledger.onClaimsCommitted(nowNanos, transaction)
              : ledger.onClaimsConflict(nowNanos, transaction, conflicts);
    };
  }

  private boolean hasExpectedVersion(OrderAction.ClaimWrite write) {
    StoredClaim stored = claims.get(write.claim().key());
    return write.expectedVersion() == (stored == null ? 0 : stored.version());
  }

  private void readClaim(Process process, OrderAction.ReadClaim action) {
    List<Optional<StoredClaim>> responseHolder = new ArrayList<>();
    request(
        process,
        "read claim",
        () -> responseHolder.add(Optional.ofNullable(claims.get(action.key()))),
        outcome ->
            deliver(
                process,
                () ->
                    outcome == Outcome.RAN
                        ? process.ledger.onClaimRead(
                            nowNanos,
                            action.key(),
                            action.attempt(),
                            applyReadDefect(responseHolder.get(0), action))
                        : process.ledger.onReadFailed(nowNanos, action.key(), action.attempt())));
  }

  private Optional<StoredClaim> applyReadDefect(
      Optional<StoredClaim> stored, OrderAction.ReadClaim action) {
    if (defect != Defect.ATTEMPT_IGNORED) {
      return stored;
    }
    return stored.map(
        original ->
            new StoredClaim(
                new OrderClaim(
                    original.claim().key(),
                    action.attempt(),
                    original.claim().digest(),
                    original.claim().group()),
                original.version()));
  }

  private void readResult(Process process, OrderAction.ReadResult action) {
    List<Optional<OrderResult>> responseHolder = new ArrayList<>();
    request(
        process,
        "read result",
        () -> responseHolder.add(findResult(action.holder())),
        outcome ->
            deliver(
                process,
                () ->
                    outcome == Outcome.RAN
                        ? process.ledger.onResultRead(
                            nowNanos, action.key(), action.attempt(), responseHolder.get(0))
                        : process.ledger.onReadFailed(nowNanos, action.key(), action.attempt())));
  }

  private Optional<OrderResult> findResult(OrderClaim holder) {
    return resultRows.entrySet().stream()
        .filter(row -> row.getKey().startsWith(holder.group() + "/"))
        .flatMap(row -> row.getValue().stream())
        .filter(result -> result.attempt().equals(holder.attempt()))
        .findFirst();
  }

  private void dispatch(Process process, OrderAction.Dispatch action) {
    attemptsBySubmission
        .computeIfAbsent(action.submission(), s -> new HashSet<>())
        .add(action.attempt());
    Submission submission = submissions.get(action.submission());
    String digest = submission.digest();
    String response = action.key() + " " + digest + " " + action.attempt();
    request(
        process,
        DISPATCH_STEP,
        () -> {
          digestsRun.computeIfAbsent(action.key(), k -> new ArrayList<>()).add(digest);
          attemptsRun.add(action.attempt());
          responses.put(action.key(), response);
        },
        outcome -> deliver(process, () -> onDispatched(process.ledger, action, outcome, response)));
  }

  private List<OrderAction> onDispatched(
      OrderLedger ledger, OrderAction.Dispatch action, Outcome outcome, String response) {
    if (outcome == Outcome.RAN) {
      return ledger.onAnswered(nowNanos, action.key(), action.attempt(), 201, response);
    }
    Outcome reported = defect == Defect.RETRY_AFTER_UNKNOWN ? Outcome.NOT_RUN : outcome;
    return ledger.onBroken(nowNanos, action.key(), action.attempt(), reported);
  }

  /** Extends the attempts that a "not run" reply covers to all submissions that share the reply. */
  private void shareAttemptsOfNotRunReplies(List<OrderAction> actions) {
    List<Long> notRun = new ArrayList<>();
    for (OrderAction action : actions) {
      if (action instanceof OrderAction.Answer answer
          && answer.reply() instanceof OrderReply.NotRun) {
        notRun.add(answer.submission());
      }
    }
    for (long submission : notRun) {
      for (long other : notRun) {
        if (submissions.get(submission).key().equals(submissions.get(other).key())) {
          attemptsBySubmission
              .computeIfAbsent(submission, s -> new HashSet<>())
              .addAll(attemptsBySubmission.getOrDefault(other, Set.of()));
        }
      }
    }
  }

  private void check() {
    digestsRun.forEach(
        (key, digests) -> {
          if (digests.size() > 1) {
            violations.add(key + " ran " + digests.size() + " times");
          }
        });
    submissions.forEach(this::checkSubmission);
    processes.forEach(
        process -> {
          if (process.ledger.getOpen() != 0) {
            violations.add(
                process.name + " still has " + process.ledger.getOpen() + " open orders");
          }
        });
  }

  private void checkSubmission(long number, Submission submission) {
    OrderReply reply = replies.get(number);
    if (reply == null) {
      if (!submission.process().isDead) {
        violations.add("no reply to submission " + number);
      }
      return;
    }
    OrderKey key = submission.key();
    if (reply instanceof OrderReply.Completed completed) {
      boolean isOwnOrder = completed.body().startsWith(key + " " + submission.digest() + " ");
      if (!isOwnOrder || !completed.body().equals(responses.get(key))) {
        violations.add(key + " received the wrong response " + completed.body());
      }
    } else if (reply instanceof OrderReply.NotRun) {
      attemptsBySubmission.getOrDefault(number, Set.of()).stream()
          .filter(attemptsRun::contains)
          .forEach(
              attempt -> violations.add("attempt " + attempt + " ran but was reported as not run"));
    } else if (reply instanceof OrderReply.KeyReused) {
      boolean isReused =
          submissions.values().stream()
              .anyMatch(
                  other -> other.key().equals(key) && !other.digest().equals(submission.digest()));
      if (!isReused) {
        violations.add(key + " was not used with another body");
      }
    }
    if (lateSubmissions.contains(number)) {
      checkLateSubmission(number, submission, reply);
    }
  }

  /** Checks the reply to a submission that came long after the last fault. */
  private void checkLateSubmission(long number, Submission submission, OrderReply reply) {
    OrderKey key = submission.key();
    boolean isAnyCompleted =
        replies.entrySet().stream()
            .anyMatch(
                other ->
                    submissions.get(other.getKey()).key().equals(key)
                        && !submissions.get(other.getKey()).process().isDead
                        && other.getValue() instanceof OrderReply.Completed);
    boolean hasRun = digestsRun.containsKey(key);
    boolean isCompleted = reply instanceof OrderReply.Completed;
    boolean isReused = reply instanceof OrderReply.KeyReused;
    if (isAnyCompleted && !isCompleted && !isReused) {
      violations.add("submission " + number + " did not get the recorded result of " + key);
    }
    if (reply instanceof OrderReply.NotRun) {
      violations.add("submission " + number + " did not run although no fault was left: " + reply);
    }
    if (!hasRun && killedProcesses == 0 && reply instanceof OrderReply.Unknown u && !u.isFinal()) {
      violations.add("the claim of " + key + " was never released");
    }
  }
}
