package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryBudget;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Forwards requests of all kinds to targets that fail at seeded steps, in virtual time, and checks
 * what the targets ran and what the callers got.
 */
final class ForwardSchedule {

  /** Names deliberate mistakes of the code around the forwarder, which the checks must notice. */
  enum Defect {
    NONE,
    /** A lost answer is told as not run. */
    UNKNOWN_TOLD_AS_NOT_RUN,
    /** Every route counts as one whose requests may be repeated. */
    ALL_REPEATABLE,
    /** A stream that is resumed begins with other events than those asked for. */
    RESUMED_TOO_LATE
  }

  /** What a target does with an attempt. */
  private enum Fault {
    REFUSED,
    LOST_ON_THE_WAY,
    ANSWER_LOST,
    SILENT,
    FAILED,
    BROKEN_OFF,
    NONE
  }

  /** The faults in the frequency in which they come. */
  private static final List<Fault> FAULTS =
      List.of(
          Fault.REFUSED,
          Fault.LOST_ON_THE_WAY,
          Fault.ANSWER_LOST,
          Fault.SILENT,
          Fault.FAILED,
          Fault.BROKEN_OFF,
          Fault.BROKEN_OFF,
          Fault.BROKEN_OFF,
          Fault.NONE,
          Fault.NONE,
          Fault.NONE,
          Fault.NONE);

  private static final int TARGETS = 4;
  private static final int REQUESTS = 4;
  private static final int MAX_EVENTS = 8;
  private static final Duration LIMIT = Duration.ofSeconds(4);

  /** An answer is due this long after the limit at the latest, as timers may fire late. */
  private static final Duration MARGIN = Duration.ofMillis(100);

  /** What one caller asked for and saw. */
  private final class Caller {
    private final Route route;
    private final int events;
    private final List<AnswerPart> parts = new ArrayList<>();
    private boolean isComplete;
    private boolean isCancelled;
    private Throwable error;
    private long endNanos = Long.MAX_VALUE;
    private int runs;
    private int active;

    Caller(Route route, int events) {
      this.route = route;
      this.events = events;
    }

    boolean isEnded() {
      return isComplete || error != null || isCancelled;
    }

    /** Gets the status of the answer, or 0 if none came. */
    int getStatus() {
      return parts.isEmpty() ? 0 : ((AnswerPart.Head) parts.get(0)).answer().status();
    }
  }

  private final UniformRandomProvider random;
  private final Defect defect;
  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final Map<String, Caller> callers = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  ForwardSchedule(long seed, Defect defect) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and gets what went wrong, empty if all is well. */
  List<String> run() {
    VirtualTimeScheduler.set(time);
    try {
      Forwarder forwarder = newForwarder();
      forwarder.start();
      for (int i = 0; i < REQUESTS; i++) {
        start(forwarder, "req" + i);
      }
      time.advanceTimeBy(LIMIT.multipliedBy(2));
      forwarder.stop();
    } finally {
      VirtualTimeScheduler.reset();
    }
    callers.forEach(this::check);
    return violations;
  }

  private Forwarder newForwarder() {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(ForwardFixtures.newTarget("t" + i));
    }
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> true),
        new TargetPlacer(placement, ForwardFixtures.ZONE, random),
        new StallDetector(placement),
        this::call,
        new RetryBudget(0.2, 10, 10),
        this::nanos,
        stalled -> {});
  }

  private long nanos() {
    return time.now(TimeUnit.NANOSECONDS);
  }

  private void start(Forwarder forwarder, String id) {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    boolean isResumable = random.nextBoolean();
    Caller caller = new Caller(newRoute(kind, isResumable), 1 + random.nextInt(MAX_EVENTS));
    callers.put(id, caller);
    Disposable answer =
        forwarder
            .forward(ForwardFixtures.newForward(id, caller.route, nanos()))
            .subscribe(
                caller.parts::add,
                e -> {
                  caller.error = e;
                  caller.endNanos = nanos();
                },
                () -> {
                  caller.isComplete = true;
                  caller.endNanos = nanos();
                });
    if (random.nextInt(6) == 0) {
      Mono.delay(Duration.ofMillis(random.nextInt(2000)))
          .filter(t -> !caller.isEnded())
          .subscribe(
              t -> {
                caller.isCancelled = true;
                answer.dispose();
                if (caller.active != 0) {
                  violations.add(id + " was left by its caller and goes on at a target");
                }
              });
    }
  }

  private Route newRoute(RequestKind kind, boolean isResumable) {
    boolean isMistaken = defect == Defect.ALL_REPEATABLE;
    return ForwardFixtures.newRoute(
        isMistaken && kind == RequestKind.ONE_TIME ? RequestKind.IDEMPOTENT : kind,
        isMistaken || isResumable,
        LIMIT);
  }

  /** Plays a target: computes the answer, counts the run and fails at any step. */
  private Flux<AnswerPart> call(
      Target target, ForwardRequest forward, Duration left, OptionalLong lastEventId) {
    String id = forward.request().id();
    Caller caller = callers.get(id);
    if (left.compareTo(forward.getLeft(nanos())) > 0) {
      violations.add(id + " hands on more time than is left");
    }
    return Flux.defer(() -> newAttempt(id, caller, lastEventId))
        .doOnSubscribe(s -> caller.active++)
        .doFinally(s -> caller.active--);
  }

  private Flux<AnswerPart> newAttempt(String id, Caller caller, OptionalLong lastEventId) {
    Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
    if (fault != Fault.REFUSED && fault != Fault.LOST_ON_THE_WAY) {
      caller.runs++;
    }
    return switch (fault) {
      case REFUSED -> pause().thenMany(Flux.error(newError(Outcome.NOT_RUN)));
      case LOST_ON_THE_WAY, ANSWER_LOST -> pause().thenMany(Flux.error(newError(Outcome.UNKNOWN)));
      case SILENT -> Flux.never();
      case FAILED ->
          pause()
              .thenMany(
                  Flux.just(ForwardFixtures.newHead(id, 500), ForwardFixtures.newPiece("failed")));
      case BROKEN_OFF, NONE -> answer(id, caller, lastEventId, fault == Fault.BROKEN_OFF);
    };
  }

  private Flux<AnswerPart> answer(
      String id, Caller caller, OptionalLong lastEventId, boolean isBroken) {
    List<AnswerPart> parts = new ArrayList<>();
    parts.add(ForwardFixtures.newHead(id, 200));
    parts.addAll(chop(newBody(id, caller, lastEventId)));
    int cut = isBroken ? random.nextInt(parts.size()) : parts.size();
    Flux<AnswerPart> sent =
        Flux.fromIterable(parts.subList(0, cut)).concatMap(p -> pause().thenReturn(p));
    return isBroken ? sent.concatWith(newBreak(parts.subList(0, cut))) : sent;
  }

  /** Breaks an answer off; a stream may also just end within an event. */
  private Flux<AnswerPart> newBreak(List<AnswerPart> sent) {
    String text = getText(sent);
    boolean isWithinEvent = text.startsWith("id") && !text.endsWith("\n\n");
    if (isWithinEvent && random.nextBoolean()) {
      return Flux.empty();
    }
    return random.nextBoolean() ? Flux.never() : Flux.error(newError(Outcome.UNKNOWN));
  }

  private Mono<Long> pause() {
    return Mono.delay(Duration.ofMillis(1 + random.nextInt(150)));
  }

  private AttemptException newError(Outcome outcome) {
    Outcome told = defect == Defect.UNKNOWN_TOLD_AS_NOT_RUN ? Outcome.NOT_RUN : outcome;
    return new AttemptException("forward", "target", told, "broken", null);
  }

  /** Gets what a target sends, which may repeat events before those asked for. */
  private String newBody(String id, Caller caller, OptionalLong lastEventId) {
    if (caller.route.kind() != RequestKind.STREAM) {
      return newWhole(id, caller);
    }
    int from = (int) lastEventId.orElse(0);
    if (defect == Defect.RESUMED_TOO_LATE && lastEventId.isPresent()) {
      from++;
    } else if (random.nextInt(4) == 0) {
      from = 0;
    }
    return newEvents(id, from, caller.events);
  }

  private static String newEvents(String id, int from, int to) {
    StringBuilder body = new StringBuilder();
    for (int i = from + 1; i <= to; i++) {
      body.append("id: ").append(i).append("\ndata: ").append(id).append("\n\n");
    }
    return body.toString();
  }

  private static String newWhole(String id, Caller caller) {
    return caller.route.kind() == RequestKind.STREAM
        ? newEvents(id, 0, caller.events)
        : "answer to " + id;
  }

  /** Cuts a body into pieces at any byte. */
  private List<AnswerPart> chop(String body) {
    List<AnswerPart> pieces = new ArrayList<>();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    int start = 0;
    while (start < bytes.length) {
      int end = Math.min(bytes.length, start + 1 + random.nextInt(30));
      pieces.add(new AnswerPart.Piece(Arrays.copyOfRange(bytes, start, end)));
      start = end;
    }
    return pieces;
  }

  private static String getText(List<AnswerPart> parts) {
    StringBuilder text = new StringBuilder();
    for (AnswerPart part : parts) {
      if (part instanceof AnswerPart.Piece piece) {
        text.append(new String(piece.bytes(), StandardCharsets.UTF_8));
      }
    }
    return text.toString();
  }

  private void check(String id, Caller caller) {
    if (!caller.isEnded()) {
      violations.add(id + " got neither the end nor an error");
    }
    if (!caller.isCancelled && caller.endNanos > LIMIT.plus(MARGIN).toNanos()) {
      violations.add(id + " was answered after its limit");
    }
    if (caller.active != 0) {
      violations.add(id + " goes on after its end");
    }
    checkRuns(id, caller);
    checkAnswer(id, caller);
  }

  private void checkRuns(String id, Caller caller) {
    boolean isOnce =
        caller.route.kind() == RequestKind.ONE_TIME
            || caller.route.kind() == RequestKind.STREAM && !caller.route.isResumable();
    int most = isOnce || defect == Defect.ALL_REPEATABLE ? 1 : ForwardFixtures.MAX_ATTEMPTS;
    if (caller.runs > most) {
      violations.add(id + " ran too often: " + caller.runs);
    }
    if (caller.error instanceof ForwardException e
        && e.getOutcome() == Outcome.NOT_RUN
        && caller.runs > 0) {
      violations.add(id + " ran but was told as not run");
    }
    if (caller.error != null && !(caller.error instanceof ForwardException)) {
      violations.add(id + " failed with " + caller.error);
    }
  }

  private void checkAnswer(String id, Caller caller) {
    if (caller.parts.isEmpty()) {
      if (caller.isComplete) {
        violations.add(id + " got an empty answer");
      }
      return;
    }
    String body = getText(caller.parts);
    if (caller.getStatus() != 200) {
      if (!body.equals("failed")) {
        violations.add(id + " got a mixed failure: " + body);
      }
      return;
    }
    String whole = newWhole(id, caller);
    if (!whole.startsWith(body)) {
      violations.add(id + " got a mixed answer: " + body);
    } else if (caller.isComplete && !body.equals(whole)) {
      violations.add(id + " got a truncated answer: " + body);
    }
  }
}
