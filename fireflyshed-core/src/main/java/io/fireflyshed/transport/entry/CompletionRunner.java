package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.routing.ReplicaRouter;
import io.fireflyshed.coordination.routing.RouteRequest;
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
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;

/**
 * Runs a completion on whole replicas until the answer is complete or the attempts are used up.
 *
 * <p>A completion may be computed again, so an attempt that broke is followed by one on another
 * replica, which continues at the offset that was already delivered. Thread safe.
 */
public final class CompletionRunner {

  private static final Logger LOG = LoggerFactory.getLogger(CompletionRunner.class);
  private static final int MAX_ATTEMPTS = 3;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final Supplier<ServingView> views;
  private final ReplicaRouter router;
  private final ModelEngine engine;
  private final RequestTracer tracer;
  private final MonotonicClock clock;

  /**
   * Creates a runner.
   *
   * @param views gets the published view, not null
   * @param router chooses replicas, not null
   * @param engine talks to engines, not null
   * @param tracer makes spans, not null
   * @param clock the clock of this process, not null
   */
  public CompletionRunner(
      Supplier<ServingView> views,
      ReplicaRouter router,
      ModelEngine engine,
      RequestTracer tracer,
      MonotonicClock clock) {
    this.views = views;
    this.router = router;
    this.engine = engine;
    this.tracer = tracer;
    this.clock = clock;
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
    return Flux.defer(() -> new Run(request, requestId, context).next(null));
  }

  /** Holds the progress of one request; its methods run one after another. */
  private final class Run {

    private final CompletionRequest request;
    private final String requestId;
    private final Context context;
    private final String body;
    private final Set<ReplicaId> excluded = new HashSet<>();
    private int attempts;
    private long delivered;

    Run(CompletionRequest request, String requestId, Context context) {
      this.request = request;
      this.requestId = requestId;
      this.context = context;
      this.body = JsonUtils.toText(request.body().deepCopy().put("stream", true));
    }

    Flux<StreamChunk> next(AttemptException last) {
      RouteRequest route = new RouteRequest(request.model(), request.prompt(), excluded);
      Optional<OpenReplica> choice = router.choose(views.get(), route, clock.nanoTime());
      if (attempts == MAX_ATTEMPTS || choice.isEmpty()) {
        return Flux.error(newProblem(last));
      }
      attempts++;
      Assignment replica = choice.get().assignment();
      excluded.add(replica.id());
      return attempt(replica, route)
          .onErrorResume(AttemptException.class, e -> onBroken(replica, e));
    }

    private Flux<StreamChunk> onBroken(Assignment replica, AttemptException error) {
      LOG.info("entry: attempt on {} broke: {}", replica.id(), error.getMessage());
      return next(error);
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
              delivered,
              tracer.inject(context.with(span)));
      router.onStart(replica.id(), route);
      return engine.stream(call)
          .doOnNext(chunk -> delivered = chunk.getNextOffset())
          .doOnError(e -> span.setStatus(StatusCode.ERROR, String.valueOf(e.getMessage())))
          .doFinally(
              signal -> {
                router.onEnd(replica.id(), route);
                span.end();
              });
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
              last.getOutcome(),
              true,
              OptionalInt.of(RETRY_AFTER_SECONDS)));
    }
  }
}
