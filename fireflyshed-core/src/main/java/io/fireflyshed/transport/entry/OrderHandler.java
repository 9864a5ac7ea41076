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
import io.fireflyshed.transport.http.HandOver;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles orders and lookups for plain services. Thread safe. */
public final class OrderHandler {

  private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
  private static final int RETRY_AFTER_SECONDS = 1;

  private final EntrySettings settings;
  private final AccountDirectory accounts;
  private final Supplier<ServingView> views;
  private final UnaryOperator<List<InstanceRecord>> targetSorter;
  private final HedgedLookup lookups;
  private final OrderPlacer placer;

  /**
   * Creates a handler.
   *
   * @param settings the limits for request bodies, not null
   * @param accounts finds client accounts, not null
   * @param views supplies the published view, not null
   * @param targetSorter sorts usable targets in descending order of preference, not null
   * @param lookups sends lookups to targets, not null
   * @param placer places one-time orders, not null
   */
  public OrderHandler(
      EntrySettings settings,
      AccountDirectory accounts,
      Supplier<ServingView> views,
      UnaryOperator<List<InstanceRecord>> targetSorter,
      HedgedLookup lookups,
      OrderPlacer placer) {
    this.settings = settings;
    this.accounts = accounts;
    this.views = views;
    this.targetSorter = targetSorter;
    this.lookups = lookups;
    this.placer = placer;
  }

  /**
   * Handles an order.
   *
   * @param request the request, not null
   * @param response the response to send, not null
   * @param shutdown ends the request with an error at the deadline of a shutdown, not null
   * @return completes when the response is sent, never null
   */
  Publisher<Void> handleOrder(
      HttpServerRequest request, HttpServerResponse response, ShutdownSignal shutdown) {
    return respond(
        response,
        () -> {
          final String account = authenticate(request);
          final ServiceName service = parseService(request);
          final String key = requireKey(request.requestHeaders().get(IDEMPOTENCY_KEY_HEADER));
          final List<InstanceRecord> targets = targetSorter.apply(findTargets(service));
          final Mono<byte[]> requestBody =
              BodyReader.read(request, settings.maxBodyBytes(), settings.bodyTimeout());
          return shutdown
              .failOnShutdown(requestBody.flux(), OrderProblems::newShuttingDown)
              .next()
              .defaultIfEmpty(new byte[0])
              .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
              .flatMap(
                  body -> place(new OrderRequest(account, service, key, body, targets), shutdown));
        });
  }

  /**
   * Handles a lookup.
   *
   * @param request the request, not null
   * @param response the response to send, not null
   * @param shutdown ends the request with an error at the deadline of a shutdown, not null
   * @return completes when the response is sent, never null
   */
  Publisher<Void> handleLookup(
      HttpServerRequest request, HttpServerResponse response, ShutdownSignal shutdown) {
    return respond(
        response,
        () -> {
          authenticate(request);
          List<InstanceRecord> targets = findTargets(parseService(request));
          String key = requireKey(request.param("key"));
          return sendUntilShutdown(
              () -> Mono.fromFuture(lookups.lookup(targets, key)),
              shutdown,
              OrderProblems::newLookupInterrupted);
        });
  }

  /** Places an order, which goes on if its caller disconnects. */
  private Mono<DeskReply> place(OrderRequest order, ShutdownSignal shutdown) {
    return sendUntilShutdown(
        () -> Mono.fromFuture(placer.place(order), true),
        shutdown,
        () -> OrderProblems.newUnknown(false));
  }

  /**
   * Makes a call unless the shutdown has ended, in which case the call has certainly not run.
   *
   * @param call starts the call
   * @param shutdown ends the wait for the reply
   * @param interruption supplies the error of a call that the shutdown interrupts
   */
  private static Mono<DeskReply> sendUntilShutdown(
      Supplier<Mono<DeskReply>> call,
      ShutdownSignal shutdown,
      Supplier<ProblemException> interruption) {
    return Mono.defer(
        () -> {
          HandOver handOver = new HandOver();
          Flux<DeskReply> reply =
              Flux.defer(
                  () -> {
                    handOver.begin();
                    return call.get();
                  });
          return shutdown
              .failOnShutdown(
                  reply,
                  () -> handOver.isGivenUp() ? OrderProblems.newShuttingDown() : interruption.get())
              .next();
        });
  }

  private Publisher<Void> respond(HttpServerResponse response, Supplier<Mono<DeskReply>> call) {
    return Mono.defer(call)
        .flatMap(
            reply ->
                response
                    .status(reply.status())
                    .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .sendString(Mono.just(reply.body()))
                    .then())
        .onErrorResume(
            e ->
                Mono.from(
                    ProblemWriter.send(response, ProblemWriter.toProblem(translateError(e)))));
  }

  private static Throwable translateError(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    if (cause instanceof AttemptException attemptError) {
      boolean isRetryable =
          attemptError.getOutcome() == Outcome.NOT_RUN || "lookup".equals(attemptError.getStep());
      return new ProblemException(
          new Problem(
              502,
              "target-failed",
              attemptError.getMessage(),
              attemptError.getStep(),
              attemptError.getPeer(),
              attemptError.getOutcome(),
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
                    Problem.ofRefusal(
                        401,
                        "unknown-key",
                        "the authorization header must hold a known key as bearer token")));
  }

  private static ServiceName parseService(HttpServerRequest request) {
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
              400,
              "malformed-key",
              "the key must be 1 to 128 letters, digits, dots, dashes or underscores"));
    }
    return key;
  }
}
