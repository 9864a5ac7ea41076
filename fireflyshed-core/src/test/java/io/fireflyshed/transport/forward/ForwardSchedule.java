package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
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
 * Forwards requests of all kinds in virtual time to targets that fail at seeded random steps, and
 * checks what the targets ran and what the callers received.
 */
final class ForwardSchedule {

  /** Lists deliberate defects around the forwarder, which the checks must detect. */
  enum Defect {
    NONE,
    /** Attempts of unknown outcome are reported as not run. */
    UNKNOWN_REPORTED_AS_NOT_RUN,
    /** Requests of every route may be retried. */
    ALL_RETRYABLE,
    /** Targets resume a stream one event too late. */
    RESUMED_TOO_LATE
  }

  /** Lists how a target handles an attempt. */
  private enum Fault {
    REFUSED,
    REQUEST_LOST,
    RESPONSE_LOST,
    NO_RESPONSE,
    ERROR_RESPONSE,
    INTERRUPTED_RESPONSE,
    NONE
  }

  /** The faults, each repeated in proportion to its probability. */
  private static final List<Fault> WEIGHTED_FAULTS =
      List.of(
          Fault.REFUSED,
          Fault.REQUEST_LOST,
          Fault.RESPONSE_LOST,
          Fault.NO_RESPONSE,
          Fault.ERROR_RESPONSE,
          Fault.INTERRUPTED_RESPONSE,
          Fault.INTERRUPTED_RESPONSE,
          Fault.INTERRUPTED_RESPONSE,
          Fault.NONE,
          Fault.NONE,
          Fault.NONE,
          Fault.NONE);

  private static final int TARGETS = 4;
  private static final int REQUESTS = 4;
  private static final int MAX_EVENTS = 8;
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  /** The tolerance for responses after the timeout, since timers may fire late. */
  private static final Duration TIMEOUT_TOLERANCE = Duration.ofMillis(100);

  /** Records a caller's request and what the caller received. */
  private final class Caller {
    private final Route route;
    private final int eventCount;
    private final List<ResponsePart> parts = new ArrayList<>();
    private boolean isComplete;
    private boolean isCancelled;
    private Throwable error;
    private long endNanos = Long.MAX_VALUE;
    private int runs;
    private int activeAttempts;

    Caller(Route route, int eventCount) {
      this.route = route;
      this.eventCount = eventCount;
    }

    boolean isEnded() {
      return isComplete || error != null || isCancelled;
    }

    /** Gets the status of the response, or 0 if none was received. */
    int getStatus() {
      return parts.isEmpty() ? 0 : ((ResponsePart.Head) parts.get(0)).response().status();
    }
  }

  private final UniformRandomProvider random;
  private final Defect defect;
  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final Map<String, Caller> callers = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  ForwardSchedule(long seed, Defect defect) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and returns the violations that were found. */
  List<String> run() {
    VirtualTimeScheduler.set(scheduler);
    try {
      Forwarder forwarder = newForwarder();
      forwarder.start();
      for (int i = 0; i < REQUESTS; i++) {
        startRequest(forwarder, "req" + i);
      }
      scheduler.advanceTimeBy(TIMEOUT.multipliedBy(2));
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
        new TargetPlacer(placement, ForwardFixtures.ZONE, random, ForwardFixtures.newSchedule()),
        new StallDetector(placement),
        this::send,
        new ServiceRetryBudgets(0.2, Duration.ofSeconds(10), () -> 10),
        ForwardFixtures.newCrashGuard(),
        this::nanoTime,
        stalledTarget -> {},
        new SimpleMeterRegistry());
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private void startRequest(Forwarder forwarder, String id) {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    boolean isResumable = random.nextBoolean();
    Caller caller = new Caller(newRoute(kind, isResumable), 1 + random.nextInt(MAX_EVENTS));
    callers.put(id, caller);
    Disposable subscription =
        forwarder
            .forward(ForwardFixtures.newRequest(id, caller.route, nanoTime()))
            .subscribe(
                caller.parts::add,
                e -> {
                  caller.error = e;
                  caller.endNanos = nanoTime();
                },
                () -> {
                  caller.isComplete = true;
                  caller.endNanos = nanoTime();
                });
    if (random.nextInt(6) == 0) {
      Mono.delay(Duration.ofMillis(random.nextInt(2000)))
          .filter(t -> !caller.isEnded())
          .subscribe(
              t -> {
                caller.isCancelled = true;
                subscription.dispose();
                if (caller.activeAttempts != 0) {
                  violations.add(id + " was cancelled by its caller but still runs at a target");
                }
              });
    }
  }

  private Route newRoute(RequestKind kind, boolean isResumable) {
    boolean isAllRetryable = defect == Defect.ALL_RETRYABLE;
    return ForwardFixtures.newRoute(
        isAllRetryable && kind == RequestKind.NON_IDEMPOTENT ? RequestKind.IDEMPOTENT : kind,
        isAllRetryable || isResumable,
        TIMEOUT);
  }

  /** Simulates a target, which counts the runs of a request and may fail at any step. */
  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    String id = routed.request().id();
    Caller caller = callers.get(id);
    if (remaining.compareTo(routed.getRemainingTime(nanoTime())) > 0) {
      violations.add(id + " passed a target more time than remains");
    }
    return Flux.defer(() -> newAttempt(id, caller, lastEventId))
        .doOnSubscribe(s -> caller.activeAttempts++)
        .doFinally(s -> caller.activeAttempts--);
  }

  private Flux<ResponsePart> newAttempt(String id, Caller caller, OptionalLong lastEventId) {
    Fault fault = WEIGHTED_FAULTS.get(random.nextInt(WEIGHTED_FAULTS.size()));
    if (fault != Fault.REFUSED && fault != Fault.REQUEST_LOST) {
      caller.runs++;
    }
    return switch (fault) {
      case REFUSED -> pause().thenMany(Flux.error(newError(Outcome.NOT_RUN)));
      case REQUEST_LOST, RESPONSE_LOST -> pause().thenMany(Flux.error(newError(Outcome.UNKNOWN)));
      case NO_RESPONSE -> Flux.never();
      case ERROR_RESPONSE ->
          pause()
              .thenMany(
                  Flux.just(
                      ForwardFixtures.newHead(id, 500), ForwardFixtures.newBodyChunk("failed")));
      case INTERRUPTED_RESPONSE, NONE ->
          respond(id, caller, lastEventId, fault == Fault.INTERRUPTED_RESPONSE);
    };
  }

  private Flux<ResponsePart> respond(
      String id, Caller caller, OptionalLong lastEventId, boolean isInterrupted) {
    List<ResponsePart> parts = new ArrayList<>();
    parts.add(ForwardFixtures.newHead(id, 200));
    parts.addAll(split(newBody(id, caller, lastEventId)));
    int sentCount = isInterrupted ? random.nextInt(parts.size()) : parts.size();
    Flux<ResponsePart> sentParts =
        Flux.fromIterable(parts.subList(0, sentCount)).concatMap(p -> pause().thenReturn(p));
    return isInterrupted
        ? sentParts.concatWith(newInterruption(parts.subList(0, sentCount)))
        : sentParts;
  }

  /** Interrupts a response; a stream may also complete within an event. */
  private Flux<ResponsePart> newInterruption(List<ResponsePart> sentParts) {
    String text = getText(sentParts);
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
    Outcome reported = defect == Defect.UNKNOWN_REPORTED_AS_NOT_RUN ? Outcome.NOT_RUN : outcome;
    return new AttemptException("forward", "target", reported, "failed by the schedule", null);
  }

  /** Creates the body that a target sends, which may repeat events before the requested ones. */
  private String newBody(String id, Caller caller, OptionalLong lastEventId) {
    if (caller.route.kind() != RequestKind.STREAM) {
      return newCompleteBody(id, caller);
    }
    int afterEvent = (int) lastEventId.orElse(0);
    if (defect == Defect.RESUMED_TOO_LATE && lastEventId.isPresent()) {
      afterEvent++;
    } else if (random.nextInt(4) == 0) {
      afterEvent = 0;
    }
    return newEvents(id, afterEvent, caller.eventCount);
  }

  private static String newEvents(String id, int afterEvent, int lastEvent) {
    StringBuilder body = new StringBuilder();
    for (int i = afterEvent + 1; i <= lastEvent; i++) {
      body.append("id: ").append(i).append("\ndata: ").append(id).append("\n\n");
    }
    return body.toString();
  }

  private static String newCompleteBody(String id, Caller caller) {
    return caller.route.kind() == RequestKind.STREAM
        ? newEvents(id, 0, caller.eventCount)
        : "answer to " + id;
  }

  /** Splits a body into chunks at random bytes. */
  private List<ResponsePart> split(String body) {
    List<ResponsePart> chunks = new ArrayList<>();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    int start = 0;
    while (start < bytes.length) {
      int end = Math.min(bytes.length, start + 1 + random.nextInt(30));
      chunks.add(new ResponsePart.BodyChunk(Arrays.copyOfRange(bytes, start, end)));
      start = end;
    }
    return chunks;
  }

  private static String getText(List<ResponsePart> parts) {
    StringBuilder text = new StringBuilder();
    for (ResponsePart part : parts) {
      if (part instanceof ResponsePart.BodyChunk chunk) {
        text.append(new String(chunk.bytes(), StandardCharsets.UTF_8));
      }
    }
    return text.toString();
  }

  private void check(String id, Caller caller) {
    if (!caller.isEnded()) {
      violations.add(id + " neither completed nor failed");
    }
    if (!caller.isCancelled && caller.endNanos > TIMEOUT.plus(TIMEOUT_TOLERANCE).toNanos()) {
      violations.add(id + " ended after its timeout");
    }
    if (caller.activeAttempts != 0) {
      violations.add(id + " still runs at a target after its end");
    }
    checkRuns(id, caller);
    checkResponse(id, caller);
  }

  private void checkRuns(String id, Caller caller) {
    boolean isRunOnce =
        caller.route.kind() == RequestKind.NON_IDEMPOTENT
            || caller.route.kind() == RequestKind.STREAM && !caller.route.isResumable();
    int maxRuns = isRunOnce || defect == Defect.ALL_RETRYABLE ? 1 : ForwardFixtures.MAX_ATTEMPTS;
    if (caller.runs > maxRuns) {
      violations.add(id + " ran too often: " + caller.runs);
    }
    if (caller.error instanceof ForwardException e
        && e.getOutcome() == Outcome.NOT_RUN
        && caller.runs > 0) {
      violations.add(id + " ran but was reported as not run");
    }
    if (caller.error != null && !(caller.error instanceof ForwardException)) {
      violations.add(id + " failed with " + caller.error);
    }
  }

  private void checkResponse(String id, Caller caller) {
    if (caller.parts.isEmpty()) {
      if (caller.isComplete) {
        violations.add(id + " received an empty response");
      }
      return;
    }
    String body = getText(caller.parts);
    if (caller.getStatus() != 200) {
      if (!body.equals("failed")) {
        violations.add(id + " received a mixed error response: " + body);
      }
      return;
    }
    String completeBody = newCompleteBody(id, caller);
    if (!completeBody.startsWith(body)) {
      violations.add(id + " received a mixed response: " + body);
    } else if (caller.isComplete && !body.equals(completeBody)) {
      violations.add(id + " received a truncated response: " + body);
    }
  }
}
