package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.poison.PoisonVerdict;
import io.fireflyshed.coordination.retry.RetryDecision;
import io.fireflyshed.coordination.retry.RetryPolicy;
import io.fireflyshed.coordination.routing.ReplicaRouter;
import io.fireflyshed.coordination.routing.RouteRequest;
import io.fireflyshed.coordination.stream.StreamAssembler;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.trace.RequestTracer;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.core.publisher.Sinks;

/**
 * Runs completions on open replicas and retries them on other replicas until the answer is complete
 * or the retry policy allows no further attempt.
 *
 * <p>A completion may be computed more than once, so an attempt on another replica resumes the
 * answer at the first offset that was not delivered. Thread safe.
 */
public final class CompletionRunner {

  private static final Logger LOG = LoggerFactory.getLogger(CompletionRunner.class);
  private static final Duration VERDICT_POLL_INTERVAL = Duration.ofMillis(20);

  /** The time after the timeout of a request in which its caller may take a complete answer. */
  private static final Duration READ_GRACE = Duration.ofSeconds(1);

  private static final int MAX_BUFFERED_CHUNKS = 16;
  private static final String STEP = "stream";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final Supplier<ServingView> views;
  private final ReplicaRouter router;
  private final ModelEngine engine;
  private final RequestTracer tracer;
  private final MonotonicClock clock;
  private final StreamSettings settings;
  private final RetryPolicy retryPolicy;
  private final PoisonGuard poisonGuard;

  /**
   * Creates a runner.
   *
   * @param views supplies the published view, not null
   * @param router chooses replicas, not null
   * @param engine sends attempts to engines, not null
   * @param tracer starts spans, not null
   * @param clock the clock of this process, not null
   * @param settings the timeouts, not null
   * @param retryPolicy decides on further attempts, not null
   * @param poisonGuard isolates and refuses requests that crash replicas, not null
   */
  public CompletionRunner(
      Supplier<ServingView> views,
      ReplicaRouter router,
      ModelEngine engine,
      RequestTracer tracer,
      MonotonicClock clock,
      StreamSettings settings,
      RetryPolicy retryPolicy,
      PoisonGuard poisonGuard) {
    this.views = views;
    this.router = router;
    this.engine = engine;
    this.tracer = tracer;
    this.clock = clock;
    this.settings = settings;
    this.retryPolicy = retryPolicy;
    this.poisonGuard = poisonGuard;
  }

  /**
   * Runs a completion that no shutdown ends.
   *
   * @param request the request, not null
   * @param requestId the id that the caller sees, not null
   * @param context the trace context of the entry span, not null
   * @return the chunks of the answer, the last of which has the end event; fails with a {@link
   *     ProblemException}
   */
  public Flux<StreamChunk> run(CompletionRequest request, String requestId, Context context) {
    return run(request, requestId, context, new ShutdownSignal());
  }

  /** Runs a completion, which the signal ends with an error unless its answer is whole by then. */
  Flux<StreamChunk> run(
      CompletionRequest request, String requestId, Context context, ShutdownSignal shutdown) {
    return Flux.defer(
        () -> {
          CompletionRun run = new CompletionRun(request, requestId, context, shutdown);
          return StreamUtils.failOn(
              run.start(), Mono.delay(settings.timeout().plus(READ_GRACE)), run::newTimeoutError);
        });
  }

  /** Creates the error of a request that the shutdown kept from being run. */
  static ProblemException newShuttingDown() {
    return new ProblemException(
        Problem.ofLater(503, "shutting-down", "the entry is shutting down", RETRY_AFTER_SECONDS));
  }

  private static StreamChunk concatenate(List<StreamChunk> chunks) {
    int bytes = chunks.stream().mapToInt(chunk -> chunk.frames().remaining()).sum();
    ByteBuffer frames = ByteBuffer.allocate(bytes);
    chunks.forEach(chunk -> frames.put(chunk.frames().duplicate()));
    StreamChunk first = chunks.get(0);
    StreamChunk last = chunks.get(chunks.size() - 1);
    int tokens = (int) (last.getNextOffset() - first.offset());
    return new StreamChunk(first.offset(), tokens, frames.flip(), last.isEnd());
  }

  /** An attempt that has not ended. */
  private final class OpenAttempt {
    private final String id;
    private final Assignment replica;
    private final RouteRequest route;
    private final Span span;
    private final StallDetector stallDetector;
    private final StreamAssembler<StreamChunk> assembler;
    private final Sinks.Empty<Void> closing = Sinks.empty();
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private boolean isLossRecorded;

    OpenAttempt(
        String id,
        Assignment replica,
        RouteRequest route,
        Span span,
        StallDetector stallDetector,
        long offset) {
      this.id = id;
      this.replica = replica;
      this.route = route;
      this.span = span;
      this.stallDetector = stallDetector;
      this.assembler = new StreamAssembler<>(MAX_BUFFERED_CHUNKS, offset);
      assembler.begin(id);
    }

    String getPeer() {
      return replica.getHead().getAddressText();
    }

    /** Cancels the attempt unless it has ended. Thread safe. */
    void close() {
      if (isClosed.compareAndSet(false, true)) {
        closing.tryEmitEmpty();
        router.onEnd(replica.id(), route);
        span.end();
      }
    }
  }

  /**
   * The progress of one request. Its methods never run concurrently.
   *
   * <p>An attempt whose replica is silent stays open while another one runs beside it. The first of
   * them that goes on is kept, and the others are cancelled.
   */
  private final class CompletionRun {

    private final CompletionRequest request;
    private final String requestId;
    private final Context context;
    private final ShutdownSignal shutdown;
    private final String body;
    private final Set<ReplicaId> triedReplicas = new HashSet<>();
    private final AttemptEvents<StreamChunk> events = new AttemptEvents<>();

    /** The attempts that have not ended, the newest last. */
    private final List<OpenAttempt> openAttempts = new CopyOnWriteArrayList<>();

    private final long deadlineNanos;
    private Outcome outcome = Outcome.NOT_RUN;
    private int attempts;
    private long delivered;
    private boolean isSuccessorPending;
    private volatile boolean isEnded;

    CompletionRun(
        CompletionRequest request, String requestId, Context context, ShutdownSignal shutdown) {
      this.request = request;
      this.requestId = requestId;
      this.context = context;
      this.shutdown = shutdown;
      this.body = JsonUtils.toText(request.body().deepCopy().put("stream", true));
      this.deadlineNanos = clock.nanoTime() + settings.timeout().toNanos();
    }

    Flux<StreamChunk> start() {
      retryPolicy.onRequest();
      events.add(Flux.just(() -> startAttempt(null)));
      return events
          .asFlux(shutdown.or(Mono.delay(settings.timeout())), this::endEarly)
          .doFinally(signal -> end());
    }

    private List<StreamChunk> endEarly() {
      throw shutdown.isFired() ? newShutdownError() : newTimeoutError();
    }

    /** Closes the attempts; one that starts meanwhile closes itself. */
    private void end() {
      isEnded = true;
      openAttempts.forEach(OpenAttempt::close);
    }

    private List<StreamChunk> startAttempt(AttemptException lastError) {
      PoisonVerdict verdict = poisonGuard.getVerdict(request);
      if (verdict == PoisonVerdict.REFUSED) {
        throw newPoisonError();
      }
      if (verdict == PoisonVerdict.UNDECIDED) {
        schedule(VERDICT_POLL_INTERVAL, () -> startAttempt(lastError));
        return List.of();
      }
      runAttempt(chooseReplica(verdict).orElseThrow(() -> newFailure(lastError)));
      return List.of();
    }

    private void schedule(Duration delay, Supplier<List<StreamChunk>> task) {
      events.add(Mono.delay(delay).map(tick -> task).flux());
    }

    private Optional<Assignment> chooseReplica(PoisonVerdict verdict) {
      if (verdict == PoisonVerdict.CLEAR) {
        return router
            .choose(views.get(), newRouteRequest(), clock.nanoTime())
            .map(OpenReplica::assignment);
      }
      return verdict == PoisonVerdict.SUSPECTED ? isolate() : Optional.empty();
    }

    /** Chooses a replica that runs no other suspect of this process. */
    private Optional<Assignment> isolate() {
      List<Assignment> open =
          views.get().getOpen(request.model()).stream()
              .filter(replica -> replica.isOpen(clock.nanoTime()))
              .map(OpenReplica::assignment)
              .filter(replica -> !triedReplicas.contains(replica.id()))
              .toList();
      return poisonGuard.isolate(request, open);
    }

    private RouteRequest newRouteRequest() {
      return new RouteRequest(request.model(), request.prompt(), triedReplicas);
    }

    private void runAttempt(Assignment replica) {
      RouteRequest route = newRouteRequest();
      attempts++;
      triedReplicas.add(replica.id());
      String attemptId = requestId + "-" + attempts;
      Span span = tracer.start("attempt", SpanKind.CLIENT, context);
      span.setAttribute("fireflyshed.attempt", attemptId);
      span.setAttribute("fireflyshed.replica", replica.id().value());
      EngineRequest engineRequest =
          new EngineRequest(
              attemptId,
              requestId,
              replica,
              request.kind(),
              body,
              delivered,
              tracer.inject(context.with(span)));
      OpenAttempt attempt =
          new OpenAttempt(
              attemptId,
              replica,
              route,
              span,
              new StallDetector(settings, clock, () -> isOpen(replica)),
              delivered);
      router.onStart(replica.id(), route);
      openAttempts.add(attempt);
      Flux<StreamChunk> chunks =
          attempt
              .stallDetector
              .watch(engine.stream(engineRequest))
              .doOnNext(
                  chunk -> router.onTokens(replica.id(), route, chunk.tokens(), clock.nanoTime()));
      events.add(
          chunks
              .materialize()
              .takeUntilOther(attempt.closing.asMono())
              .map(signal -> () -> onSignal(attempt, signal)));
      events.add(
          attempt
              .stallDetector
              .findStalls()
              .takeUntilOther(attempt.closing.asMono())
              .map(tick -> () -> onStalled(attempt)));
      if (isEnded) {
        attempt.close();
      }
    }

    private List<StreamChunk> onSignal(OpenAttempt attempt, Signal<StreamChunk> signal) {
      if (!openAttempts.contains(attempt)) {
        return List.of();
      }
      if (signal.isOnNext()) {
        return onChunk(attempt, signal.get());
      }
      if (signal.isOnComplete()) {
        return onFailure(
            attempt,
            new AttemptException(
                STEP,
                attempt.getPeer(),
                Outcome.RAN,
                "the stream ended before the answer was complete",
                null));
      }
      if (signal.getThrowable() instanceof AttemptException error) {
        return onFailure(attempt, error);
      }
      throw Exceptions.propagate(signal.getThrowable());
    }

    private List<StreamChunk> onChunk(OpenAttempt attempt, StreamChunk chunk) {
      List<StreamChunk> ready;
      try {
        ready = attempt.assembler.accept(attempt.id, chunk.offset(), chunk.tokens(), chunk);
      } catch (IllegalStateException e) {
        return onFailure(
            attempt, new AttemptException(STEP, attempt.getPeer(), Outcome.RAN, e.getMessage(), e));
      }
      if (ready.isEmpty()) {
        return List.of();
      }
      select(attempt);
      StreamChunk last = ready.get(ready.size() - 1);
      delivered = attempt.assembler.getDelivered();
      if (last.isEnd()) {
        attempt.assembler.end(attempt.id, last.getNextOffset());
      }
      if (attempt.assembler.isComplete()) {
        poisonGuard.recordCompletion(request);
        events.complete();
      }
      return List.of(ready.size() == 1 ? last : concatenate(ready));
    }

    /** Makes an attempt that goes on the only one. */
    private void select(OpenAttempt attempt) {
      for (OpenAttempt other : openAttempts) {
        if (other != attempt) {
          LOG.info("entry: attempt {} superseded by attempt {}", other.id, attempt.id);
          outcome =
              outcome.join(other.stallDetector.hasReceivedChunk() ? Outcome.RAN : Outcome.UNKNOWN);
          close(other);
        }
      }
    }

    private void close(OpenAttempt attempt) {
      openAttempts.remove(attempt);
      attempt.close();
    }

    /** Starts another attempt beside the newest one while its replica is silent. */
    private List<StreamChunk> onStalled(OpenAttempt attempt) {
      if (!openAttempts.contains(attempt)) {
        return List.of();
      }
      if (!isOpen(attempt.replica) && !attempt.isLossRecorded) {
        attempt.isLossRecorded = true;
        poisonGuard.recordLoss(request, attempt.replica);
      }
      if (!isSuccessorPending && isSilent(attempt) && isReplicaLeft()) {
        Outcome known = attempt.stallDetector.hasReceivedChunk() ? Outcome.RAN : Outcome.UNKNOWN;
        if (retryPolicy.decide(known, true, attempts, getRemainingTime())
            instanceof RetryDecision.Retry retry) {
          isSuccessorPending = true;
          schedule(retry.delay(), () -> startSuccessor(attempt));
        }
      }
      return List.of();
    }

    private boolean isSilent(OpenAttempt attempt) {
      return openAttempts.indexOf(attempt) == openAttempts.size() - 1
          && attempt.stallDetector.isStalled();
    }

    private boolean isReplicaLeft() {
      return chooseReplica(poisonGuard.getVerdict(request)).isPresent();
    }

    private List<StreamChunk> startSuccessor(OpenAttempt attempt) {
      isSuccessorPending = false;
      if (openAttempts.contains(attempt) && isSilent(attempt)) {
        chooseReplica(poisonGuard.getVerdict(request))
            .ifPresent(
                replica -> {
                  LOG.info("entry: attempt {} is silent, another one starts", attempt.id);
                  runAttempt(replica);
                });
      }
      return List.of();
    }

    private List<StreamChunk> onFailure(OpenAttempt attempt, AttemptException error) {
      LOG.info("entry: attempt on replica {} failed: {}", attempt.replica.id(), error.getMessage());
      attempt.span.setStatus(StatusCode.ERROR, String.valueOf(error.getMessage()));
      close(attempt);
      outcome = outcome.join(error.getOutcome());
      if (error instanceof TargetLostException && !attempt.isLossRecorded) {
        poisonGuard.recordLoss(request, attempt.replica);
      }
      return openAttempts.isEmpty() ? retryOrFail(error) : List.of();
    }

    private List<StreamChunk> retryOrFail(AttemptException error) {
      RetryDecision decision =
          retryPolicy.decide(error.getOutcome(), true, attempts, getRemainingTime());
      if (decision instanceof RetryDecision.Retry retry) {
        schedule(retry.delay(), () -> startAttempt(error));
        return List.of();
      }
      throw newFailure(error);
    }

    private Duration getRemainingTime() {
      return Duration.ofNanos(deadlineNanos - clock.nanoTime());
    }

    private boolean isOpen(Assignment replica) {
      return views.get().getOpen(replica.service()).stream()
          .map(OpenReplica::assignment)
          .anyMatch(
              open -> open.id().equals(replica.id()) && open.generation() == replica.generation());
    }

    private ProblemException newPoisonError() {
      return new ProblemException(
          new Problem(
              422,
              "poison-request",
              "the request was running when several replicas crashed; it is refused temporarily",
              "accept",
              "entry",
              outcome,
              false,
              OptionalInt.empty()));
    }

    /** Creates the error for a request that exceeded its timeout. */
    private ProblemException newTimeoutError() {
      Outcome attemptsOutcome = delivered > 0 ? Outcome.RAN : Outcome.UNKNOWN;
      return new ProblemException(
          new Problem(
              504,
              "run-time-exceeded",
              "the request ran longer than " + settings.timeout().toSeconds() + " s",
              STEP,
              "entry",
              attempts == 0 ? Outcome.NOT_RUN : attemptsOutcome,
              false,
              OptionalInt.empty()));
    }

    private ProblemException newShutdownError() {
      if (attempts == 0) {
        return newShuttingDown();
      }
      return new ProblemException(
          new Problem(
              502,
              "shutting-down",
              "the entry shut down before the answer was complete",
              "serve",
              "entry",
              Outcome.UNKNOWN,
              true,
              OptionalInt.of(RETRY_AFTER_SECONDS)));
    }

    private ProblemException newFailure(AttemptException lastError) {
      if (lastError == null) {
        return new ProblemException(
            Problem.ofLater(
                503,
                "no-replica",
                "no complete replica of " + request.model() + " is serving",
                RETRY_AFTER_SECONDS));
      }
      return new ProblemException(
          new Problem(
              502,
              "attempts-failed",
              lastError.getMessage(),
              lastError.getStep(),
              lastError.getPeer(),
              outcome,
              true,
              OptionalInt.of(RETRY_AFTER_SECONDS)));
    }
  }
}
