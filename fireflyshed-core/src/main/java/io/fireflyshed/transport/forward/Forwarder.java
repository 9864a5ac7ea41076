package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryBudget;
import io.fireflyshed.protocol.traffic.EventSplitter;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.transport.entry.StreamUtils;
import io.fireflyshed.transport.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Passes requests on to targets until one gives the whole answer or the request can't be served.
 *
 * <p>What a target did not run goes to another at once. What may have run goes to another only if
 * it may be repeated. A stream that breaks is resumed after the last whole event, within the same
 * answer. All repeats draw on one budget. Thread safe.
 */
public final class Forwarder {

  /** Attempts that did not run are free of the route's limit, but not without end. */
  private static final int MAX_NOT_RUN = 3;

  /** An attempt with less time than this can't answer. */
  private static final Duration MIN_LEFT = Duration.ofMillis(20);

  /** An idempotent request that takes this many latency targets is tried elsewhere. */
  private static final int PATIENCE = 3;

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

  /**
   * The time to come back while the targets aren't known yet; a reading takes some milliseconds.
   */
  private static final Duration RETRY_AFTER_START = Duration.ofMillis(200);

  private static final Duration STALL_CHECK = Duration.ofMillis(50);
  private static final String STEP = "forward";

  private final TargetView view;
  private final TargetPlacer placer;
  private final StallDetector stalls;
  private final TargetClient client;
  private final RetryBudget budget;
  private final MonotonicClock clock;
  private final Consumer<InstanceId> onStalled;
  private final EventLog log = new EventLog("forward");
  private Disposable check = Disposables.disposed();
  private final Map<Object, Sinks.Empty<Void>> cuts = new ConcurrentHashMap<>();

  /**
   * Creates a forwarder.
   *
   * @param view lists the targets, not null
   * @param placer chooses targets, not null
   * @param stalls finds streams that stand still, not null
   * @param client talks to targets, not null
   * @param budget bounds the repeats, not null
   * @param clock the clock of this process, not null
   * @param onStalled is told of targets that stand still, not null
   */
  public Forwarder(
      TargetView view,
      TargetPlacer placer,
      StallDetector stalls,
      TargetClient client,
      RetryBudget budget,
      MonotonicClock clock,
      Consumer<InstanceId> onStalled) {
    this.view = view;
    this.placer = placer;
    this.stalls = stalls;
    this.client = client;
    this.budget = budget;
    this.clock = clock;
    this.onStalled = onStalled;
  }

  /** Starts to look for streams that stand still. */
  public void start() {
    check =
        Flux.interval(STALL_CHECK)
            .onBackpressureDrop()
            .subscribe(tick -> cutStalled(), e -> log.error("stall check ended", e));
  }

  /** Ends the look for streams that stand still. */
  public void stop() {
    check.dispose();
  }

  private void cutStalled() {
    Set<InstanceId> stalled = new HashSet<>();
    for (StallDetector.Stall stall : stalls.findStalls(clock.nanoTime())) {
      if (stall.isTargetStalled() && stalled.add(stall.target())) {
        placer.suspect(stall.target(), clock.nanoTime());
        onStalled.accept(stall.target());
        log.warn("target stands still", "target", stall.target());
      }
      Sinks.Empty<Void> cut = cuts.get(stall.key());
      if (cut != null) {
        cut.tryEmitEmpty();
      }
    }
  }

  /**
   * Passes a request on.
   *
   * @param forward the request, not null
   * @return the head and the pieces of the answer; it fails with a {@link ForwardException}
   */
  public Flux<AnswerPart> forward(ForwardRequest forward) {
    return Flux.defer(
        () -> {
          budget.onRequest();
          Run run = new Run(forward);
          Duration left = forward.getLeft(clock.nanoTime());
          return StreamUtils.failOn(run.next(), Mono.delay(left), run::newTimeout);
        });
  }

  /** Holds the progress of one request; its methods run one after another. */
  private final class Run {

    private final ForwardRequest forward;
    private final String id;
    private final boolean isStream;
    private final Set<InstanceId> tried = new HashSet<>();
    private Outcome outcome = Outcome.NOT_RUN;
    private int runs;
    private int notRun;
    private boolean isHeadSent;
    private OptionalLong lastEventId;
    private List<AnswerPart> failure = List.of();

    Run(ForwardRequest forward) {
      this.forward = forward;
      this.id = forward.request().id();
      this.isStream = forward.route().kind() == RequestKind.STREAM;
      this.lastEventId = forward.request().lastEventId();
    }

    Flux<AnswerPart> next() {
      long now = clock.nanoTime();
      Duration left = forward.getLeft(now);
      if (left.compareTo(MIN_LEFT) < 0) {
        return Flux.error(newTimeout());
      }
      if (!view.isRead()) {
        return refuse(new Placement.Refuse("the targets are not known yet", RETRY_AFTER_START), 0);
      }
      boolean isModel = forward.request().prompt().isPresent();
      List<Target> candidates =
          isModel
              ? view.getHeads(forward.service(), forward.getPool())
              : view.getTargets(forward.service());
      Placement placement = placer.place(forward.getPool(), candidates, tried, isModel, now);
      if (placement instanceof Placement.Refuse refuse) {
        return refuse(refuse, candidates.size());
      }
      return attempt(((Placement.Send) placement).target(), left);
    }

    /** Tests whether a target's own failure is at hand and may still be the answer. */
    private boolean hasFailure() {
      return !failure.isEmpty() && !isHeadSent;
    }

    private Flux<AnswerPart> refuse(Placement.Refuse refuse, int candidates) {
      if (hasFailure()) {
        return Flux.fromIterable(failure);
      }
      log.info(
          "refused",
          "request",
          id,
          "reason",
          refuse.reason(),
          "pool",
          forward.getPool(),
          "targets",
          candidates,
          "tried",
          tried,
          "outcome",
          outcome,
          "configuration",
          forward.configurationVersion());
      return Flux.error(
          new ForwardException(
              "place", "entry", refuse.reason(), outcome, refuse.retryAfter(), false));
    }

    private Flux<AnswerPart> attempt(Target target, Duration left) {
      tried.add(target.id());
      placer.onStart(target.id());
      log.info(
          "sent",
          "request",
          id,
          "target",
          target.id(),
          "left_ms",
          left.toMillis(),
          "after_event",
          lastEventId.orElse(-1),
          "configuration",
          forward.configurationVersion());
      Flux<AnswerPart> parts = client.call(target, forward, left, lastEventId);
      Flux<AnswerPart> answer = isStream ? stream(target, parts) : collect(target, parts);
      return answer
          .doFinally(signal -> placer.onEnd(forward.getPool(), target.id(), clock.nanoTime()))
          .onErrorResume(AttemptException.class, e -> onBroken(target, e));
    }

    /** Collects an answer that is not a stream, so that a broken one can be replaced. */
    private Flux<AnswerPart> collect(Target target, Flux<AnswerPart> parts) {
      Flux<AnswerPart> bounded = parts;
      if (forward.route().kind() == RequestKind.IDEMPOTENT) {
        Duration patience = forward.route().latencyTarget().multipliedBy(PATIENCE);
        bounded =
            StreamUtils.failOn(
                parts,
                Mono.delay(patience),
                () -> newLost(target, "no answer within " + patience.toMillis() + " ms"));
      }
      return bounded.collectList().flatMapMany(whole -> deliver(target, whole));
    }

    private Flux<AnswerPart> deliver(Target target, List<AnswerPart> whole) {
      TargetAnswer answer = ((AnswerPart.Head) whole.get(0)).answer();
      onAnswer(target, answer);
      if (answer.isSuccess() || !forward.route().isRepeatable()) {
        placer.onResult(target.id(), answer.isSuccess(), clock.nanoTime());
        return Flux.fromIterable(whole);
      }
      failure = whole;
      String message = "the target answered " + answer.status();
      return Flux.error(
          new AttemptException(STEP, target.id().value(), Outcome.RAN, message, null));
    }

    private void onAnswer(Target target, TargetAnswer answer) {
      answer
          .load()
          .ifPresent(l -> placer.onLoad(target.id(), l.running() + l.waiting(), l.slots()));
    }

    /** Passes the whole events of a stream on; its head waits for the first of them. */
    private Flux<AnswerPart> stream(Target target, Flux<AnswerPart> parts) {
      Object key = new Object();
      Sinks.Empty<Void> cut = Sinks.empty();
      EventSplitter splitter = new EventSplitter();
      AnswerPart[] head = new AnswerPart[1];
      List<AnswerPart> error = new ArrayList<>();
      return StreamUtils.failOn(
              parts.concatMapIterable(part -> take(target, key, part, head, splitter, error)),
              cut.asMono().materialize(),
              () -> newLost(target, "the stream stands still"))
          .concatWith(Flux.defer(() -> endStream(target, head, splitter, error)))
          .doOnSubscribe(
              s -> {
                cuts.put(key, cut);
                stalls.start(key, target.id(), clock.nanoTime());
              })
          .doFinally(
              signal -> {
                cuts.remove(key);
                stalls.end(key);
              });
    }

    private List<AnswerPart> take(
        Target target,
        Object key,
        AnswerPart part,
        AnswerPart[] head,
        EventSplitter splitter,
        List<AnswerPart> error) {
      if (part instanceof AnswerPart.Head first) {
        onAnswer(target, first.answer());
        head[0] = part;
        if (!first.answer().isSuccess()) {
          error.add(part);
        }
        return List.of();
      }
      AnswerPart.Piece piece = (AnswerPart.Piece) part;
      if (!error.isEmpty()) {
        error.add(part);
        return List.of();
      }
      List<AnswerPart> ready = new ArrayList<>();
      for (EventSplitter.RawEvent event : splitter.split(piece.bytes())) {
        onEvent(target, key);
        if (isRepeated(event)) {
          continue;
        }
        if (!isHeadSent) {
          isHeadSent = true;
          ready.add(head[0]);
        }
        if (event.id().isPresent()) {
          lastEventId = event.id();
        }
        ready.add(new AnswerPart.Piece(event.bytes()));
      }
      return ready;
    }

    private boolean isRepeated(EventSplitter.RawEvent event) {
      return event.id().isPresent()
          && lastEventId.isPresent()
          && event.id().getAsLong() <= lastEventId.getAsLong();
    }

    private void onEvent(Target target, Object key) {
      long now = clock.nanoTime();
      long gap = stalls.onEvent(key, now);
      if (gap >= 0) {
        placer.onProgress(target.id(), Duration.ofNanos(gap));
      }
    }

    private Flux<AnswerPart> endStream(
        Target target, AnswerPart[] head, EventSplitter splitter, List<AnswerPart> error) {
      if (!error.isEmpty()) {
        failure = isHeadSent ? List.of() : error;
        String message = "the target answered " + ((AnswerPart.Head) head[0]).answer().status();
        return Flux.error(
            new AttemptException(STEP, target.id().value(), Outcome.RAN, message, null));
      }
      if (!splitter.isBetweenEvents()) {
        return Flux.error(newLost(target, "the stream ends within an event"));
      }
      placer.onResult(target.id(), true, clock.nanoTime());
      if (!isHeadSent) {
        isHeadSent = true;
        return Flux.just(head[0]);
      }
      return Flux.empty();
    }

    private AttemptException newLost(Target target, String message) {
      return new TargetLostException(STEP, target.id().value(), Outcome.UNKNOWN, message, null);
    }

    private Flux<AnswerPart> onBroken(Target target, AttemptException error) {
      outcome = outcome.join(error.getOutcome());
      boolean isNotRun = error.getOutcome() == Outcome.NOT_RUN;
      if (isNotRun) {
        notRun++;
      } else {
        runs++;
      }
      learn(target, error);
      boolean isAllowed =
          isNotRun
              ? notRun <= MAX_NOT_RUN
              : forward.route().isRepeatable() && runs < forward.route().maxAttempts();
      // What reached no target is no repeat that a target would have to bear.
      boolean isFree = error instanceof TargetUnreachableException;
      boolean isRetried = isAllowed && (isFree || budget.tryRetry());
      log.info(
          "attempt broke",
          "request",
          id,
          "target",
          target.id(),
          "error",
          error.getMessage(),
          "outcome",
          error.getOutcome(),
          "retried",
          isRetried);
      if (isRetried) {
        return next();
      }
      if (hasFailure()) {
        return Flux.fromIterable(failure);
      }
      return Flux.error(
          new ForwardException(
              STEP, target.id().value(), error.getMessage(), outcome, RETRY_AFTER_FAILURE, false));
    }

    private void learn(Target target, AttemptException error) {
      if (error instanceof TargetUnreachableException) {
        placer.onUnreachable(target.id(), clock.nanoTime());
      } else if (error.getOutcome() != Outcome.NOT_RUN) {
        placer.onResult(target.id(), false, clock.nanoTime());
      }
    }

    private ForwardException newTimeout() {
      Outcome known = tried.isEmpty() ? Outcome.NOT_RUN : outcome.join(Outcome.UNKNOWN);
      log.info("out of time", "request", id, "tried", tried, "outcome", known);
      return new ForwardException(
          STEP, "entry", "the time has passed", known, RETRY_AFTER_FAILURE, true);
    }
  }
}
