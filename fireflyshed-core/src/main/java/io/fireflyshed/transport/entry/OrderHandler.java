package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.IdentifierUtils;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.desk.HedgedLookup;
import io.fireflyshed.transport.http.BodyReader;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers orders and lookups of plain services. Thread safe. */
public final class OrderHandler {

  private static final String KEY_HEADER = "idempotency-key";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final EntrySettings settings;
  private final AccountDirectory accounts;
  private final Supplier<ServingView> views;
  private final UnaryOperator<List<InstanceRecord>> sorter;
  private final HedgedLookup lookups;
  private final OrderPlacer placer;

  /**
   * Creates a handler.
   *
   * @param settings the limits for requests, not null
   * @param accounts finds client accounts, not null
   * @param views gets the published view, not null
   * @param sorter sorts usable targets, the best first, not null
   * @param lookups answers lookups, not null
   * @param placer places one-time orders, not null
   */
  public OrderHandler(
      EntrySettings settings,
      AccountDirectory accounts,
      Supplier<ServingView> views,
      UnaryOperator<List<InstanceRecord>> sorter,
      HedgedLookup lookups,
      OrderPlacer placer) {
    this.settings = settings;
    this.accounts = accounts;
    this.views = views;
    this.sorter = sorter;
    this.lookups = lookups;
    this.placer = placer;
  }

  /**
   * Answers one order.
   *
   * @param request the request, not null
   * @param response the response, not null
   * @param shutdown ends what is in flight at the deadline of a shutdown, not null
   * @return completes when the answer is sent, never null
   */
  Publisher<Void> handleOrder(
      HttpServerRequest request, HttpServerResponse response, ShutdownSignal shutdown) {
    return answer(
        response,
        () -> {
          final String account = authenticate(request);
          final ServiceName service = readService(request);
          final String key = requireKey(request.requestHeaders().get(KEY_HEADER));
          final List<InstanceRecord> targets = sorter.apply(findTargets(service));
          return BodyReader.read(request, settings.maxBodyBytes(), settings.bodyTimeout())
              .defaultIfEmpty(new byte[0])
              .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
              .flatMap(
                  body ->
                      shutdown
                          .limit(
                              place(new OrderRequest(account, service, key, body, targets)),
                              () -> OrderProblems.newUnknown(false))
                          .next());
        });
  }

  /**
   * Answers one lookup.
   *
   * @param request the request, not null
   * @param response the response, not null
   * @param shutdown ends what is in flight at the deadline of a shutdown, not null
   * @return completes when the answer is sent, never null
   */
  Publisher<Void> handleLookup(
      HttpServerRequest request, HttpServerResponse response, ShutdownSignal shutdown) {
    return answer(
        response,
        () -> {
          authenticate(request);
          List<InstanceRecord> targets = findTargets(readService(request));
          String key = requireKey(request.param("key"));
          return shutdown
              .limit(toMono(lookups.lookup(targets, key)).flux(), OrderProblems::newLookupCut)
              .next();
        });
  }

  /** Places an order; a caller that goes away does not stop it. */
  private Flux<DeskReply> place(OrderRequest order) {
    return Flux.defer(() -> Mono.fromFuture(placer.place(order), true));
  }

  private Publisher<Void> answer(HttpServerResponse response, Supplier<Mono<DeskReply>> call) {
    return Mono.defer(call)
        .flatMap(
            reply ->
                response
                    .status(reply.status())
                    .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .sendString(Mono.just(reply.body()))
                    .then())
        .onErrorResume(
            e -> Mono.from(ProblemWriter.write(response, ProblemWriter.toProblem(toProblem(e)))));
  }

  private static Mono<DeskReply> toMono(CompletableFuture<DeskReply> future) {
    return Mono.fromFuture(future);
  }

  private static Throwable toProblem(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    if (cause instanceof AttemptException e) {
      boolean isRetryable = e.getOutcome() == Outcome.NOT_RUN || "lookup".equals(e.getStep());
      return new ProblemException(
          new Problem(
              502,
              "target-failed",
              e.getMessage(),
              e.getStep(),
              e.getPeer(),
              e.getOutcome(),
              isRetryable,
              isRetryable ? OptionalInt.of(RETRY_AFTER_SECONDS) : OptionalInt.empty()));
    }
    return cause;
  }

  private String authenticate(HttpServerRequest request) {
    return accounts
        .findAccount(request.requestHeaders())
        .orElseThrow(
            () ->
                new ProblemException(
                    Problem.ofRefusal(401, "unknown-key", "a known bearer key is required")));
  }

  private static ServiceName readService(HttpServerRequest request) {
    String name = request.param("service");
    if (!IdentifierUtils.isIdentifier(name)) {
      throw new ProblemException(
          Problem.ofRefusal(404, "unknown-service", "no service is named " + name));
    }
    return new ServiceName(name);
  }

  private List<InstanceRecord> findTargets(ServiceName service) {
    List<InstanceRecord> targets = views.get().plainTargets().getOrDefault(service, List.of());
    if (targets.isEmpty()) {
      throw new ProblemException(
          Problem.ofRefusal(404, "unknown-service", "no service is named " + service));
    }
    return targets;
  }

  private static String requireKey(String key) {
    if (!IdentifierUtils.isIdentifier(key)) {
      throw new ProblemException(
          Problem.ofRefusal(
              400, "malformed-key", "the key must be 1 to 128 letters, digits, . - or _"));
    }
    return key;
  }
}
