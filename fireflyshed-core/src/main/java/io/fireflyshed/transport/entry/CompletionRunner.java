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
 * Runs a completion on whole replicas until the answer is complete or the attempts are used up.
 *
 * <p>A completion may be computed again, so an attempt that broke is followed by one on another
 * replica, which continues at the offset that was already delivered. Thread safe.
 */
public final class CompletionRunner {

  private static final Logger LOG = LoggerFactory.getLogger(CompletionRunner.class);
  private static final Duration VERDICT_POLL = Duration.ofMillis(20);
  private static final int MAX_EARLY_CHUNKS = 16;
  private static final String STEP = "stream";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final Supplier<ServingView> views;
  private final ReplicaRouter router;
  private final ModelEngine engine;
  private final RequestTracer tracer;
  private final MonotonicClock clock;
  private final StreamSettings settings;
  private final RetryPolicy retries;
  private final PoisonGuard poison;

  /**
   * Creates a runner.
   *
   * @param views gets the published view, not null
   * @param router chooses replicas, not null
   * @param engine talks to engines, not null
   * @param tracer makes spans, not null
   * @param clock the clock of this process, not null
   * @param settings the time limits, not null
   * @param retries decides on further attempts, not null
   * @param poison refuses requests that crash replicas, not null
   */
  public CompletionRunner(
      Supplier<ServingView> views,
      ReplicaRouter router,
      ModelEngine engine,
      RequestTracer tracer,
      MonotonicClock clock,
      StreamSettings settings,
      RetryPolicy retries,
      PoisonGuard poison) {
    this.views = views;
    this.router = router;
    this.engine = engine;
    this.tracer = tracer;
    this.clock = clock;
    this.settings = settings;
    this.retries = retries;
    this.poison = poison;
  }

  /**
   * Runs a completion.
   *
   * @param request the request, not null
   * @param requestId the id that the caller sees, not null
   * @param context the trace context of the entry span, not null
   * @return the events of the answer, ended by the end event; it fails with a {@link
   *     ProblemException}
   */
  public Flux<StreamChunk> run(CompletionRequest request, String requestId, Context context) {
    return Flux.defer(
        () -> {
          Run run = new Run(request, requestId, context);
          return StreamUtils.failOn(run.start(), Mono.delay(settings.timeout()), run::newTimeout);
        });
  }

  private static StreamChunk join(List<StreamChunk> chunks) {
    int bytes = chunks.stream().mapToInt(c -> c.frames().remaining()).sum();
    ByteBuffer frames = ByteBuffer.allocate(bytes);
    chunks.forEach(c -> frames.put(c.frames().duplicate()));
    StreamChunk first = chunks.get(0);
    StreamChunk last = chunks.get(chunks.size() - 1);
    int tokens = (int) (last.getNextOffset() - first.offset());
    return new StreamChunk(first.offset(), tokens, frames.flip(), last.isEnd());
  }

  /** Holds the progress of one request; its methods run one after another. */
  private final class Run {

    private final CompletionRequest request;
    private final String requestId;
    private final Context context;
    private final String body;
    private final Set<ReplicaId> excluded = new HashSet<>();
    private final StreamAssembler<StreamChunk> answer = new StreamAssembler<>(MAX_EARLY_CHUNKS);
    private final long deadlineNanos;
    private Outcome outcome = Outcome.NOT_RUN;
    private int attempts;

    Run(CompletionRequest request, String requestId, Context context) {
      this.request = request;
      this.requestId = requestId;
      this.context = context;
      this.body = JsonUtils.toText(request.body().deepCopy().put("stream", true));
      this.deadlineNanos = clock.nanoTime() + settings.timeout().toNanos();
    }

    Flux<StreamChunk> start() {
      retries.onRequest();
      return next(null);
    }

    private Flux<StreamChunk> next(AttemptException last) {
      return switch (poison.getVerdict(request)) {
        case REFUSED -> Flux.error(newRefused());
        case UNDECIDED -> Mono.delay(VERDICT_POLL).thenMany(Flux.defer(() -> next(last)));
        case SUSPECTED -> nextIsolated(last);
        case CLEAR -> nextRouted(last);
      };
    }

    private Flux<StreamChunk> nextRouted(AttemptException last) {
      RouteRequest route = newRoute();
      return router
          .choose(views.get(), route, clock.nanoTime())
          .map(r -> run(r.assignment(), route))
          .orElseGet(() -> Flux.error(newProblem(last)));
    }

    /** Runs a suspect on a replica that runs no other suspect of this process. */
    private Flux<StreamChunk> nextIsolated(AttemptException last) {
      List<Assignment> open =
          views.get().getOpen(request.model()).stream()
              .filter(r -> r.isOpen(clock.nanoTime()))
              .map(OpenReplica::assignment)
              .filter(a -> !excluded.contains(a.id()))
              .toList();
      return poison
          .isolate(request, open)
          .map(a -> run(a, newRoute()))
          .orElseGet(() -> Flux.error(newProblem(last)));
    }

    private RouteRequest newRoute() {
      return new RouteRequest(request.model(), request.prompt(), excluded);
    }

    private Flux<StreamChunk> run(Assignment replica, RouteRequest route) {
      attempts++;
      excluded.add(replica.id());
      return attempt(replica, route)
          .doOnComplete(() -> poison.onCompleted(request))
          .onErrorResume(AttemptException.class, e -> onBroken(replica, e));
    }

    private Flux<StreamChunk> onBroken(Assignment replica, AttemptException error) {
      LOG.info("entry: attempt on {} broke: {}", replica.id(), error.getMessage());
      outcome = outcome.join(error.getOutcome());
      if (error instanceof TargetLostException) {
        poison.onLost(request, replica);
      }
      Duration left = Duration.ofNanos(deadlineNanos - clock.nanoTime());
      RetryDecision decision = retries.decide(error.getOutcome(), true, attempts, left);
      if (decision instanceof RetryDecision.Retry retry) {
        return Mono.delay(retry.delay()).thenMany(Flux.defer(() -> next(error)));
      }
      return Flux.error(newProblem(error));
    }

    private Flux<StreamChunk> attempt(Assignment replica, RouteRequest route) {
      String attemptId = requestId + "-" + attempts;
      Span span = tracer.start("attempt", SpanKind.CLIENT, context);
      span.setAttribute("fireflyshed.attempt", attemptId);
      span.setAttribute("fireflyshed.replica", replica.id().value());
      EngineRequest call =
          new EngineRequest(
              attemptId,
              requestId,
              replica,
              request.kind(),
              body,
              answer.begin(attemptId),
              tracer.inject(context.with(span)));
      String peer = replica.getHead().getAddressText();
      StallWatch stalls = new StallWatch(settings, clock, () -> isOpen(replica), peer);
      router.onStart(replica.id(), route);
      return stalls
          .watch(engine.stream(call))
          .doOnNext(c -> router.onTokens(replica.id(), route, c.tokens(), clock.nanoTime()))
          .<StreamChunk>handle((chunk, sink) -> assemble(attemptId, peer, chunk, sink))
          .takeUntil(chunk -> answer.isComplete())
          .concatWith(Flux.defer(() -> checkEnd(peer)))
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
        ready = answer.accept(attemptId, chunk.offset(), chunk.tokens(), chunk);
      } catch (IllegalStateException e) {
        sink.error(new AttemptException(STEP, peer, Outcome.RAN, e.getMessage(), e));
        return;
      }
      if (ready.isEmpty()) {
        return;
      }
      StreamChunk last = ready.get(ready.size() - 1);
      if (last.isEnd()) {
        answer.end(attemptId, last.getNextOffset());
      }
      sink.next(ready.size() == 1 ? last : join(ready));
    }

    /** Fails if an attempt ended before the answer was complete. */
    private Flux<StreamChunk> checkEnd(String peer) {
      return answer.isComplete()
          ? Flux.empty()
          : Flux.error(
              new AttemptException(STEP, peer, Outcome.RAN, "the answer is not complete", null));
    }

    private boolean isOpen(Assignment replica) {
      return views.get().getOpen(replica.service()).stream()
          .map(OpenReplica::assignment)
          .anyMatch(a -> a.id().equals(replica.id()) && a.generation() == replica.generation());
    }

    private ProblemException newRefused() {
      return new ProblemException(
          new Problem(
              422,
              "poison-request",
              "the request was running when replicas crashed; it is refused for a while",
              "accept",
              "entry",
              outcome,
              false,
              OptionalInt.empty()));
    }

    /** Creates the error of a request that ran longer than it may. */
    private ProblemException newTimeout() {
      Outcome known = answer.getDelivered() > 0 ? Outcome.RAN : Outcome.UNKNOWN;
      return new ProblemException(
          new Problem(
              504,
              "run-time-exceeded",
              "the request ran longer than " + settings.timeout().toSeconds() + " s",
              STEP,
              "entry",
              attempts == 0 ? Outcome.NOT_RUN : known,
              false,
              OptionalInt.empty()));
    }

    private ProblemException newProblem(AttemptException last) {
      if (last == null) {
        return new ProblemException(
            Problem.ofLater(
                503,
                "no-replica",
                "no whole replica of " + request.model() + " is serving",
                RETRY_AFTER_SECONDS));
      }
      return new ProblemException(
          new Problem(
              502,
              "attempts-failed",
              last.getMessage(),
              last.getStep(),
              last.getPeer(),
              outcome,
              true,
              OptionalInt.of(RETRY_AFTER_SECONDS)));
    }
  }
}
