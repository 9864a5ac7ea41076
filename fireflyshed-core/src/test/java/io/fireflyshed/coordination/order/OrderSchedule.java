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
 * Runs ledgers of several processes against a store and a desk that fail at seeded steps, and
 * checks what the desk ran and what the callers were told.
 */
public final class OrderSchedule {

  /** Names deliberate mistakes of the code around a ledger, which the checks must notice. */
  public enum Defect {
    NONE,
    RETRY_AFTER_UNKNOWN,
    CLAIM_NOT_AWAITED,
    ATTEMPT_IGNORED
  }

  private static final OrderSettings SETTINGS =
      new OrderSettings(
          Duration.ofMillis(50), 4, 2, 100, Duration.ofSeconds(2), Duration.ofMillis(100), 2);
  private static final long MILLI = 1_000_000L;
  private static final long FAULT_END = 12_000 * MILLI;
  private static final long END = 40_000 * MILLI;
  private static final long TICK = 50 * MILLI;
  private static final long STORE_TIMEOUT = 600 * MILLI;
  private static final String DISPATCH = "dispatch to the desk";
  private static final int PROCESSES = 3;
  private static final int KEYS = 3;
  private static final int OTHER_BODY_PERCENT = 8;

  private record Event(long time, long number, Runnable task) {}

  /** One run of a process. */
  private static final class Process {
    final String name;
    final OrderLedger ledger;
    final Map<String, Integer> pending = new TreeMap<>();
    boolean isDead;
    long pausedUntil;

    /** Gets the steps whose answers the process awaits. */
    Set<String> getSteps() {
      return pending.isEmpty() ? Set.of("no request pending") : pending.keySet();
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
              a.time() != b.time()
                  ? Long.compare(a.time(), b.time())
                  : Long.compare(a.number(), b.number()));
  private final List<Process> processes = new ArrayList<>();
  private final Map<OrderKey, StoredClaim> claims = new HashMap<>();
  private final Map<String, List<OrderResult>> results = new HashMap<>();
  private final Map<OrderKey, List<String>> runs = new HashMap<>();
  private final Map<OrderKey, String> answers = new HashMap<>();
  private final Set<String> ranAttempts = new HashSet<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<Long, OrderReply> replies = new HashMap<>();
  private final Map<Long, Set<String>> attemptsBySubmission = new HashMap<>();
  private final Set<Long> late = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private long now;
  private long nextEvent;
  private long nextVersion = 1;
  private long nextSubmission = 1;
  private int deaths;

  OrderSchedule(long seed, Defect defect) {
    this(seed, defect, FaultPlan.ofAll());
  }

  /** Creates a schedule with the faults of a plan. */
  public OrderSchedule(long seed, Defect defect, FaultPlan plan) {
    this.plan = plan;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and gets what went wrong, empty if all is well. */
  public List<String> run() {
    for (int i = 0; i < PROCESSES; i++) {
      processes.add(new Process("p" + i));
    }
    for (int k = 0; k < KEYS; k++) {
      OrderKey key = new OrderKey(new ServiceName("desk"), "salon", "order-" + k);
      int repeats = 1 + random.nextInt(4);
      for (int r = 0; r < repeats; r++) {
        String digest = random.nextInt(100) < OTHER_BODY_PERCENT ? "other" : "body";
        at(random.nextLong(6_000) * MILLI, () -> submit(key, digest, false));
      }
      at(FAULT_END + 8_000 * MILLI, () -> submit(key, "body", true));
      at(FAULT_END + 12_000 * MILLI, () -> submit(key, "body", true));
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      at(random.nextLong(6_000) * MILLI, this::killOne);
    }
    for (int i = random.nextInt(3); i > 0; i--) {
      at(random.nextLong(6_000) * MILLI, this::pauseOne);
    }
    at(TICK, this::tick);
    while (!events.isEmpty() && events.peek().time() <= END) {
      Event event = events.remove();
      now = event.time();
      event.task().run();
    }
    check();
    return violations;
  }

  private void at(long time, Runnable task) {
    events.add(new Event(time, nextEvent++, task));
  }

  private void after(long delay, Runnable task) {
    at(now + delay, task);
  }

  private void tick() {
    processes.forEach(p -> deliver(p, () -> p.ledger.tick(now)));
    after(TICK, this::tick);
  }

  private void killOne() {
    int index = random.nextInt(PROCESSES);
    if (!strikes(processes.get(index), FaultKind.ENTRY_DIES)) {
      return;
    }
    processes.get(index).isDead = true;
    processes.set(index, new Process("p" + index + "-" + ++deaths));
  }

  private void pauseOne() {
    Process process = processes.get(random.nextInt(PROCESSES));
    long until = now + random.nextLong(8_000) * MILLI;
    if (strikes(process, FaultKind.ENTRY_PAUSES)) {
      process.pausedUntil = until;
    }
  }

  private boolean strikes(Process process, FaultKind kind) {
    process.getSteps().forEach(s -> plan.strikes(s, kind, true));
    return plan.isEnabled(kind);
  }

  private void submit(OrderKey key, String digest, boolean isLate) {
    Process process = processes.get(random.nextInt(PROCESSES));
    long number = nextSubmission++;
    submissions.put(number, new Submission(key, digest, process));
    if (isLate) {
      late.add(number);
    }
    deliver(process, () -> process.ledger.submit(now, number, key, digest));
  }

  /** Hands an event to a process unless it is dead; a paused one takes it in when it wakes. */
  private void deliver(Process process, java.util.function.Supplier<List<OrderAction>> event) {
    if (process.isDead) {
      return;
    }
    if (process.pausedUntil > now) {
      at(process.pausedUntil, () -> deliver(process, event));
      return;
    }
    List<OrderAction> actions = event.get();
    checkNotRun(actions);
    actions.forEach(a -> perform(process, a));
  }

  private void perform(Process process, OrderAction action) {
    if (action instanceof OrderAction.CommitClaims a) {
      commit(process, a);
    } else if (action instanceof OrderAction.CommitResults a) {
      request(
          process,
          "record results",
          () -> a.resultsByGroup().forEach((g, r) -> results.put(g + "/" + a.batch(), r)),
          outcome ->
              deliver(
                  process,
                  () -> process.ledger.onResultsEnded(now, a.batch(), outcome == Outcome.RAN)));
    } else if (action instanceof OrderAction.ReadClaim a) {
      readClaim(process, a);
    } else if (action instanceof OrderAction.ReadResult a) {
      readResult(process, a);
    } else if (action instanceof OrderAction.Dispatch a) {
      dispatch(process, a);
    } else if (action instanceof OrderAction.Answer a) {
      if (replies.put(a.submission(), a.reply()) != null) {
        violations.add("two replies to submission " + a.submission());
      }
    }
  }

  private boolean isFaulty(int percent) {
    return now < FAULT_END && random.nextInt(100) < percent;
  }

  private long newDelay(String step) {
    boolean isSlow = plan.strikes(step, FaultKind.STORE_SLOW, isFaulty(10));
    return (1 + random.nextLong(isSlow ? 400 : 20)) * MILLI;
  }

  /** Sends a request whose effect or answer may be lost or late. RAN means a known effect. */
  private void request(Process process, String step, Runnable effect, Consumer<Outcome> receiver) {
    process.pending.merge(step, 1, Integer::sum);
    Consumer<Outcome> answer =
        outcome -> {
          process.pending.computeIfPresent(step, (s, n) -> n == 1 ? null : n - 1);
          receiver.accept(outcome);
        };
    FaultKind refusal = step.equals(DISPATCH) ? FaultKind.TARGET_REFUSES : FaultKind.STORE_DOWN;
    if (plan.strikes(step, refusal, isFaulty(8))) {
      after(newDelay(step), () -> answer.accept(Outcome.NOT_RUN));
    } else if (plan.strikes(step, FaultKind.ANSWER_LOST, isFaulty(25))) {
      int kind = random.nextInt(3);
      if (kind != 0) {
        long delay = kind == 1 ? newDelay(step) : random.nextLong(6_000) * MILLI;
        after(delay, effect);
      }
      after(STORE_TIMEOUT, () -> answer.accept(Outcome.UNKNOWN));
    } else {
      after(
          newDelay(step),
          () -> {
            effect.run();
            after(newDelay(step), () -> answer.accept(Outcome.RAN));
          });
    }
  }

  private void commit(Process process, OrderAction.CommitClaims action) {
    Set<OrderKey> conflicts = new HashSet<>();
    boolean[] isApplied = new boolean[1];
    Runnable effect =
        () -> {
          action.claims().stream()
              .filter(w -> !holds(w))
              .forEach(w -> conflicts.add(w.claim().key()));
          isApplied[0] = conflicts.isEmpty();
          if (isApplied[0]) {
            action
                .claims()
                .forEach(
                    w -> claims.put(w.claim().key(), new StoredClaim(w.claim(), nextVersion++)));
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
      deliver(process, () -> process.ledger.onClaimsCommitted(now, action.transaction()));
    }
  }

  private List<OrderAction> onCommit(
      OrderLedger ledger,
      long transaction,
      Outcome outcome,
      boolean[] isApplied,
      Set<OrderKey> conflicts) {
    return switch (outcome) {
      case NOT_RUN -> ledger.onClaimsRefused(now, transaction);
      case UNKNOWN -> ledger.onClaimsUnknown(now, transaction);
      case RAN ->
          isApplied[0]
              ? ledger.onClaimsCommitted(now, transaction)
              : ledger.onClaimsConflict(now, transaction, conflicts);
    };
  }

  private boolean holds(OrderAction.ClaimWrite write) {
    StoredClaim stored = claims.get(write.claim().key());
    return write.expectedVersion() == (stored == null ? 0 : stored.version());
  }

  private void readClaim(Process process, OrderAction.ReadClaim action) {
    List<Optional<StoredClaim>> read = new ArrayList<>();
    request(
        process,
        "read claim",
        () -> read.add(Optional.ofNullable(claims.get(action.key()))),
        outcome ->
            deliver(
                process,
                () ->
                    outcome == Outcome.RAN
                        ? process.ledger.onClaimRead(
                            now, action.key(), action.attempt(), forge(read.get(0), action))
                        : process.ledger.onReadFailed(now, action.key(), action.attempt())));
  }

  private Optional<StoredClaim> forge(Optional<StoredClaim> read, OrderAction.ReadClaim action) {
    if (defect != Defect.ATTEMPT_IGNORED) {
      return read;
    }
    return read.map(
        s ->
            new StoredClaim(
                new OrderClaim(
                    s.claim().key(), action.attempt(), s.claim().digest(), s.claim().group()),
                s.version()));
  }

  private void readResult(Process process, OrderAction.ReadResult action) {
    List<Optional<OrderResult>> read = new ArrayList<>();
    request(
        process,
        "read result",
        () -> read.add(findResult(action.holder())),
        outcome ->
            deliver(
                process,
                () ->
                    outcome == Outcome.RAN
                        ? process.ledger.onResultRead(
                            now, action.key(), action.attempt(), read.get(0))
                        : process.ledger.onReadFailed(now, action.key(), action.attempt())));
  }

  private Optional<OrderResult> findResult(OrderClaim holder) {
    return results.entrySet().stream()
        .filter(e -> e.getKey().startsWith(holder.group() + "/"))
        .flatMap(e -> e.getValue().stream())
        .filter(r -> r.attempt().equals(holder.attempt()))
        .findFirst();
  }

  private void dispatch(Process process, OrderAction.Dispatch action) {
    attemptsBySubmission
        .computeIfAbsent(action.submission(), s -> new HashSet<>())
        .add(action.attempt());
    Submission submission = submissions.get(action.submission());
    String digest = submission.digest();
    String text = action.key() + " " + digest + " " + action.attempt();
    request(
        process,
        DISPATCH,
        () -> {
          runs.computeIfAbsent(action.key(), k -> new ArrayList<>()).add(digest);
          ranAttempts.add(action.attempt());
          answers.put(action.key(), text);
        },
        outcome -> deliver(process, () -> onDesk(process.ledger, action, outcome, text)));
  }

  private List<OrderAction> onDesk(
      OrderLedger ledger, OrderAction.Dispatch action, Outcome outcome, String text) {
    if (outcome == Outcome.RAN) {
      return ledger.onAnswered(now, action.key(), action.attempt(), 201, text);
    }
    Outcome told = defect == Defect.RETRY_AFTER_UNKNOWN ? Outcome.NOT_RUN : outcome;
    return ledger.onBroken(now, action.key(), action.attempt(), told);
  }

  /** Remembers which attempts a reply of "not run" speaks of; joined submissions share them. */
  private void checkNotRun(List<OrderAction> actions) {
    List<Long> told = new ArrayList<>();
    for (OrderAction action : actions) {
      if (action instanceof OrderAction.Answer a && a.reply() instanceof OrderReply.NotRun) {
        told.add(a.submission());
      }
    }
    for (long submission : told) {
      for (long other : told) {
        if (submissions.get(submission).key().equals(submissions.get(other).key())) {
          attemptsBySubmission
              .computeIfAbsent(submission, s -> new HashSet<>())
              .addAll(attemptsBySubmission.getOrDefault(other, Set.of()));
        }
      }
    }
  }

  private void check() {
    runs.forEach(
        (key, list) -> {
          if (list.size() > 1) {
            violations.add(key + " ran " + list.size() + " times");
          }
        });
    submissions.forEach(this::checkSubmission);
    processes.forEach(
        p -> {
          if (p.ledger.getOpen() != 0) {
            violations.add(p.name + " still holds " + p.ledger.getOpen() + " orders");
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
    if (reply instanceof OrderReply.Completed done) {
      boolean isOwn = done.body().startsWith(key + " " + submission.digest() + " ");
      if (!isOwn || !done.body().equals(answers.get(key))) {
        violations.add(key + " was answered with " + done.body());
      }
    } else if (reply instanceof OrderReply.NotRun) {
      attemptsBySubmission.getOrDefault(number, Set.of()).stream()
          .filter(ranAttempts::contains)
          .forEach(a -> violations.add("attempt " + a + " ran but was told as not run"));
    } else if (reply instanceof OrderReply.KeyReused) {
      boolean isReused =
          submissions.values().stream()
              .anyMatch(s -> s.key().equals(key) && !s.digest().equals(submission.digest()));
      if (!isReused) {
        violations.add(key + " was not used with another body");
      }
    }
    if (late.contains(number)) {
      checkLate(number, submission, reply);
    }
  }

  /** Checks a repeat that came long after the last fault. */
  private void checkLate(long number, Submission submission, OrderReply reply) {
    OrderKey key = submission.key();
    boolean isCompleted =
        replies.entrySet().stream()
            .anyMatch(
                e ->
                    submissions.get(e.getKey()).key().equals(key)
                        && !submissions.get(e.getKey()).process().isDead
                        && e.getValue() instanceof OrderReply.Completed);
    boolean hasRun = runs.containsKey(key);
    boolean isAnswered = reply instanceof OrderReply.Completed;
    boolean isReused = reply instanceof OrderReply.KeyReused;
    if (isCompleted && !isAnswered && !isReused) {
      violations.add("submission " + number + " lost the recorded result of " + key);
    }
    if (reply instanceof OrderReply.NotRun) {
      violations.add("submission " + number + " was refused without a fault: " + reply);
    }
    if (!hasRun && deaths == 0 && reply instanceof OrderReply.Unknown u && !u.isFinal()) {
      violations.add("the claim of " + key + " was never freed");
    }
  }
}
