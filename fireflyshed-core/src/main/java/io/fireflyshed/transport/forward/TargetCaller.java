package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.fireflyshed.transport.http.ConnectionReuse;
import io.fireflyshed.transport.http.FairReads;
import io.fireflyshed.transport.http.HandOver;
import io.fireflyshed.transport.http.ResponseGuard;
import io.fireflyshed.transport.http.StatusLineUtils;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to targets over HTTP. Thread safe.
 *
 * <p>Cancelling a response closes its connection, which makes the target abort the request. Two
 * kinds of requests get a new connection: one that must not be retried, since a target may close a
 * pooled connection while the request is in transit and then it is unknown whether it ran, and one
 * to a target that sent surplus bytes lately.
 */
public final class TargetCaller implements TargetClient, AutoCloseable {

  private static final String STEP = "forward";

  /** Keeps the connections of nine entries together well below what a target accepts. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 48;

  /** Closes pooled connections before the idle timeouts that are usual on servers. */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

  /** The longest wait for a connection; a round trip takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  private static final Duration MIN_REMAINING = Duration.ofMillis(1);

  private final TrafficCodec codec;
  private final MonotonicClock clock;
  private final Supplier<ServiceRanks> ranks;
  private final ConnectionReuse reuse;
  private final ConnectionProvider connectionPool;
  private final HttpClient pooledClient;
  private final HttpClient unpooledClient;

  /**
   * Creates a client that tells targets no priorities.
   *
   * @param codec encodes and decodes headers, not null
   * @param clock the clock of the arrival times of requests, not null
   */
  public TargetCaller(TrafficCodec codec, MonotonicClock clock) {
    this(codec, clock, () -> ServiceRanks.NONE, new ConnectionReuse(clock));
  }

  /**
   * Creates a client with a connection pool of its own.
   *
   * @param codec encodes and decodes headers, not null
   * @param clock the clock of the arrival times of requests, not null
   * @param ranks gets the services whose requests differ in their ranks, as the latest known
   *     configuration has them, not null
   * @param reuse decides whether a connection to a target may be used again, not null
   */
  public TargetCaller(
      TrafficCodec codec,
      MonotonicClock clock,
      Supplier<ServiceRanks> ranks,
      ConnectionReuse reuse) {
    this.reuse = Objects.requireNonNull(reuse, "reuse");
    this.ranks = Objects.requireNonNull(ranks, "ranks");
    this.codec = Objects.requireNonNull(codec, "codec");
    this.clock = Objects.requireNonNull(clock, "clock");
    connectionPool =
        ConnectionProvider.builder("targets")
            .maxConnections(MAX_CONNECTIONS_PER_TARGET)
            .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
            .maxIdleTime(MAX_IDLE_TIME)
            .lifo()
            .build();
    pooledClient = configure(HttpClient.create(connectionPool));
    unpooledClient = configure(HttpClient.newConnection());
  }

  private HttpClient configure(HttpClient client) {
    return ResponseGuard.configure(client, reuse)
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, FairReads.newAllocator());
  }

  @Override
  public Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    return send(target, routed, remaining, lastEventId, () -> {});
  }

  @Override
  public Flux<ResponsePart> send(
      Target target,
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId,
      Runnable onSend) {
    TrafficRequest request = routed.request();
    HandOver handOver = new HandOver();
    HttpHeaders targetHeaders = newHeaders(target, routed, remaining, lastEventId);
    boolean isPooled = routed.route().isRetryable() && reuse.isPermitted(target.address());
    HttpClient client = isPooled ? pooledClient : unpooledClient;
    String peer = target.address().getHostString() + ":" + target.address().getPort();
    HttpClient.RequestSender sender =
        client
            .headers(h -> setHeaders(h, targetHeaders))
            .doOnRequest(
                (r, c) -> {
                  handOver.begin();
                  onSend.run();
                  ResponseGuard.setRequestId(c.channel(), request.id());
                  updateRemaining(r.requestHeaders(), target, routed, remaining, lastEventId);
                })
            .request(request.method())
            .uri("http://" + peer + request.uri());
    HttpClient.ResponseReceiver<?> receiver =
        routed.body().getLength() == 0
            ? sender
            : sender.send(Mono.fromSupplier(routed.body()::newBuffer));
    return receiver
        .responseConnection(
            (response, connection) -> readResponse(request, target, peer, response, connection))
        .onErrorMap(e -> toAttemptException(peer, handOver, e));
  }

  private HttpHeaders newHeaders(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    HttpHeaders headers =
        codec.newTargetHeaders(routed.request(), target, routed.account(), remaining, lastEventId);
    ranks
        .get()
        .getPriority(routed.service(), routed.rank())
        .ifPresent(priority -> codec.addPriority(headers, priority));
    return headers;
  }

  /** Adds the headers for the target and removes the user agent that the HTTP client sets. */
  private static void setHeaders(HttpHeaders headers, HttpHeaders targetHeaders) {
    headers.remove(HttpHeaderNames.USER_AGENT);
    headers.add(targetHeaders);
  }

  /** Subtracts the time that passed until a connection was established. */
  private void updateRemaining(
      HttpHeaders headers,
      Target target,
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId) {
    Duration current = routed.getRemainingTime(clock.nanoTime());
    if (current.toMillis() >= remaining.toMillis()) {
      return;
    }
    Duration left = current.compareTo(MIN_REMAINING) < 0 ? MIN_REMAINING : current;
    HttpHeaders updated = newHeaders(target, routed, left, lastEventId);
    updated.names().forEach(name -> headers.set(name, updated.getAll(name)));
  }

  private Flux<ResponsePart> readResponse(
      TrafficRequest request,
      Target target,
      String peer,
      HttpClientResponse httpResponse,
      Connection connection) {
    if (!StatusLineUtils.isValid(httpResponse)) {
      connection.dispose();
      String message = StatusLineUtils.describe(httpResponse);
      return Flux.error(new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null));
    }
    TargetAnswer response =
        codec.decodeAnswer(httpResponse.status().code(), httpResponse.responseHeaders());
    int earlierRequests = ResponseGuard.countEarlierRequests(connection.channel());
    Optional<AttemptException> error = validate(request, peer, response, earlierRequests == 0);
    if (error.isPresent()) {
      if (isOfAnotherRequest(request, response)) {
        reuse.suspend(target.address());
      }
      connection.dispose();
      return Flux.error(error.get());
    }
    Flux<ResponsePart> chunks =
        connection.inbound().receive().asByteArray().map(ResponsePart.BodyChunk::new);
    ResponseOrigin origin = ResponseOrigin.ofTarget(target.id(), earlierRequests);
    return Flux.concat(Mono.just(new ResponsePart.Head(response, origin)), chunks);
  }

  /**
   * Returns an error unless the response is the target's own response to this request. A rejection
   * without an id may be that of an earlier request on the same connection.
   */
  private static Optional<AttemptException> validate(
      TrafficRequest request, String peer, TargetAnswer response, boolean isFirstRequest) {
    boolean isOwn = response.requestId().map(id -> id.equals(request.id())).orElse(isFirstRequest);
    if (isOwn && response.isNotRun()) {
      return Optional.of(new RequestRejectedException(STEP, peer, response));
    }
    if (!isOwn || response.requestId().isEmpty()) {
      String message = "the response is for request " + response.requestId().orElse("(none)");
      return Optional.of(new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null));
    }
    if (!response.isSigned()) {
      String message =
          "the response with status " + response.status() + " is not signed by the target";
      return Optional.of(new AttemptException(STEP, peer, Outcome.UNKNOWN, message, null));
    }
    return Optional.empty();
  }

  private static boolean isOfAnotherRequest(TrafficRequest request, TargetAnswer response) {
    return response.requestId().filter(id -> !id.equals(request.id())).isPresent();
  }

  private static Throwable toAttemptException(String peer, HandOver handOver, Throwable error) {
    if (error instanceof AttemptException) {
      return error;
    }
    Outcome outcome = handOver.isGivenUp() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    String message = error.getClass().getSimpleName() + ": " + error.getMessage();
    if (outcome == Outcome.NOT_RUN && error instanceof ConnectException) {
      return new TargetUnreachableException(STEP, peer, message, error);
    }
    return outcome == Outcome.UNKNOWN && error instanceof IOException
        ? new ConnectionLostException(STEP, peer, message, error)
        : new AttemptException(STEP, peer, outcome, message, error);
  }

  @Override
  public void close() {
    connectionPool.dispose();
  }
}
