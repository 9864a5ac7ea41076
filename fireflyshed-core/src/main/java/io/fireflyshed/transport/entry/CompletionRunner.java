package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
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
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;

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
   * Runs a completion.
   *
   * @param request the request, not null
   * @param requestId the id that the caller sees, not null
   * @param context the trace context of the entry span, not null
   * @return the chunks of the answer, the last of which has the end event; fails with a {@link
   *     ProblemException}
   */
  public Flux<StreamChunk> run(CompletionRequest request, String requestId, Context context) {
    return Flux.defer(
        () -> {
          CompletionRun run = new CompletionRun(request, requestId, context);
          return StreamUtils.failOn(
              run.start(), Mono.delay(settings.timeout()), run::newTimeoutError);
        });
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

  /** The progress of one request. Its methods never run concurrently. */
  private final class CompletionRun {

    private final CompletionRequest request;
    private final String requestId;
    private final Context context;
    private final String body;
    private final Set<ReplicaId> triedReplicas = new HashSet<>();
    private final StreamAssembler<StreamChunk> assembler =
        new StreamAssembler<>(MAX_BUFFERED_CHUNKS);
    private final long deadlineNanos;
    private Outcome outcome = Outcome.NOT_RUN;
    private int attempts;

    CompletionRun(CompletionRequest request, String requestId, Context context) {
      this.request = request;
      this.requestId = requestId;
      this.context = context;
      this.body = JsonUtils.toText(request.body().deepCopy().put("stream", true));
      this.deadlineNanos = clock.nanoTime() + settings.timeout().toNanos();
    }

    Flux<StreamChunk> start() {
      retryPolicy.onRequest();
      return startAttempt(null);
    }

    private Flux<StreamChunk> startAttempt(AttemptException lastError) {
      return switch (poisonGuard.getVerdict(request)) {
        case REFUSED -> Flux.error(newPoisonError());
        case UNDECIDED ->
            Mono.delay(VERDICT_POLL_INTERVAL).thenMany(Flux.defer(() -> startAttempt(lastError)));
        case SUSPECTED -> startIsolatedAttempt(lastError);
        case CLEAR -> startRoutedAttempt(lastError);
      };
    }

    private Flux<StreamChunk> startRoutedAttempt(AttemptException lastError) {
      RouteRequest route = newRouteRequest();
      return router
          .choose(views.get(), route, clock.nanoTime())
          .map(replica -> runAttempt(replica.assignment(), route))
          .orElseGet(() -> Flux.error(newFailure(lastError)));
    }

    /** Starts an attempt on a replica that runs no other suspect of this process. */
    private Flux<StreamChunk> startIsolatedAttempt(AttemptException lastError) {
      List<Assignment> open =
          views.get().getOpen(request.model()).stream()
              .filter(replica -> replica.isOpen(clock.nanoTime()))
              .map(OpenReplica::assignment)
              .filter(replica -> !triedReplicas.contains(replica.id()))
              .toList();
      return poisonGuard
          .isolate(request, open)
          .map(replica -> runAttempt(replica, newRouteRequest()))
          .orElseGet(() -> Flux.error(newFailure(lastError)));
    }

    private RouteRequest newRouteRequest() {
      return new RouteRequest(request.model(), request.prompt(), triedReplicas);
    }

    private Flux<StreamChunk> runAttempt(Assignment replica, RouteRequest route) {
      attempts++;
      triedReplicas.add(replica.id());
      return streamAttempt(replica, route)
          .doOnComplete(() -> poisonGuard.recordCompletion(request))
          .onErrorResume(AttemptException.class, e -> retryOrFail(replica, e));
    }

    private Flux<StreamChunk> retryOrFail(Assignment replica, AttemptException error) {
      LOG.info("entry: attempt on replica {} failed: {}", replica.id(), error.getMessage());
      outcome = outcome.join(error.getOutcome());
      if (error instanceof TargetLostException) {
        poisonGuard.recordLoss(request, replica);
      }
      Duration remaining = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      RetryDecision decision = retryPolicy.decide(error.getOutcome(), true, attempts, remaining);
      if (decision instanceof RetryDecision.Retry retry) {
        return Mono.delay(retry.delay()).thenMany(Flux.defer(() -> startAttempt(error)));
      }
      return Flux.error(newFailure(error));
    }

    private Flux<StreamChunk> streamAttempt(Assignment replica, RouteRequest route) {
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
              assembler.begin(attemptId),
              tracer.inject(context.with(span)));
      String peer = replica.getHead().getAddressText();
      StallDetector stallDetector = new StallDetector(settings, clock, () -> isOpen(replica), peer);
      router.onStart(replica.id(), route);
      return stallDetector
          .watch(engine.stream(engineRequest))
          .doOnNext(chunk -> router.onTokens(replica.id(), route, chunk.tokens(), clock.nanoTime()))
          .<StreamChunk>handle((chunk, sink) -> assemble(attemptId, peer, chunk, sink))
          .takeUntil(chunk -> assembler.isComplete())
          .concatWith(Flux.defer(() -> failIfIncomplete(peer)))
          .doOnError(e -> span.setStatus(StatusCode.ERROR, String.valueOf(e.getMessage())))
          .doFinally(
              signal -> {
                router.onEnd(replica.id(), route);
                span.end();
              });
    }

    private void assemble(
        String attemptId, String peer, StreamChunk chunk, SynchronousSink<StreamChunk> sink) {
      List<StreamChunk> ready;
      try {
        ready = assembler.accept(attemptId, chunk.offset(), chunk.tokens(), chunk);
      } catch (IllegalStateException e) {
        sink.error(new AttemptException(STEP, peer, Outcome.RAN, e.getMessage(), e));
        return;
      }
      if (ready.isEmpty()) {
        return;
      }
      StreamChunk last = ready.get(ready.size() - 1);
      if (last.isEnd()) {
        assembler.end(attemptId, last.getNextOffset());
      }
      sink.next(ready.size() == 1 ? last : concatenate(ready));
    }

    /** Completes if the answer is complete, and fails the attempt otherwise. */
    private Flux<StreamChunk> failIfIncomplete(String peer) {
      return assembler.isComplete()
          ? Flux.empty()
          : Flux.error(
              new AttemptException(
                  STEP,
                  peer,
                  Outcome.RAN,
                  "the stream ended before the answer was complete",
                  null));
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
      Outcome attemptsOutcome = assembler.getDelivered() > 0 ? Outcome.RAN : Outcome.UNKNOWN;
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
