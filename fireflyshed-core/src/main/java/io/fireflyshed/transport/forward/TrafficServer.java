package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.coordination.shutdown.RequestDurations;
import io.fireflyshed.coordination.shutdown.ShutdownAdmission;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.traffic.ClientAccount;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.entry.ShutdownSignal;
import io.fireflyshed.transport.entry.StreamUtils;
import io.fireflyshed.transport.http.BodyReader;
import io.fireflyshed.transport.http.FairReads;
import io.fireflyshed.transport.http.HeldBody;
import io.fireflyshed.transport.http.RequestGuards;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves callers whose requests are forwarded unchanged, the load balancer's readiness probe and
 * the metrics. Thread safe.
 */
public final class TrafficServer {

  /** Longer than any idle timeout that a configuration sets for callers. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  /** Limits the connections that wait to be accepted while the process starts. */
  private static final int BACKLOG = 1024;

  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

  /** The time in which errors reach the callers whose requests the shutdown ends. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(150);

  /** The retry delay of requests that this entry or another one can take at once. */
  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);

  private static final ClientLimits DEFAULT_LIMITS =
      new ClientLimits(16384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

  /** What a request takes besides its body: its headers and the state of its attempts. */
  private static final int REQUEST_BYTES = 4 << 10;

  /** What a caller that doesn't read makes this process hold: the connection's limit and a part. */
  private static final int UNREAD_BYTES = 128 << 10;

  /** The time in which a caller may read what it has not read at the timeout of its request. */
  private static final Duration READ_GRACE = Duration.ofSeconds(1);

  private static final String NO_ROOM = "the entry has no memory left for the request";

  private static final String READ_LATE = "the entry read the request after its time";

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TrafficServerSettings settings;
  private final TrafficCodec codec;
  private final RequestGate gate;
  private final Supplier<Optional<ClientLimits>> limitsSupplier;
  private final Forwarder forwarder;
  private final UniformRandomProvider random;
  private final MonotonicClock clock;
  private final BooleanSupplier isReady;
  private final ByteBudget budget;
  private final PrometheusMeterRegistry metrics;
  private final AtomicInteger inFlight;
  private final EventLog log = new EventLog("entry");
  private final CallerMetrics callerMetrics;
  private final Supplier<HttpServer> newHttpServer;
  private volatile boolean hasRequests;
  private final RequestGuards guards;
  private final RequestGuards operatorGuards;
  private final CallerConnections connections = new CallerConnections();
  private final RequestDurations durations = new RequestDurations();
  private final ShutdownSignal endSignal;

  /** Decides on new requests from the start of the shutdown on; null before. */
  private volatile ShutdownAdmission admission;

  /** Whether the shutdown takes no more requests at all. */
  private volatile boolean isClosing;

  private volatile long shutdownNanos;
  private volatile List<DisposableServer> servers = List.of();

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings the settings, not null
   * @param codec encodes and decodes headers, not null
   * @param gate routes and authorizes requests, not null
   * @param limitsSupplier gets the limits of the latest known configuration, empty to use defaults,
   *     not null
   * @param forwarder forwards requests to targets, not null
   * @param random selects among the services of a route, not null
   * @param clock the monotonic clock of this process, not null
   * @param isReady tests whether requests can be served, not null
   * @param budget counts the bytes that this process holds, not null
   * @param metrics the metrics to publish, not null
   */
  public TrafficServer(
      TrafficServerSettings settings,
      TrafficCodec codec,
      RequestGate gate,
      Supplier<Optional<ClientLimits>> limitsSupplier,
      Forwarder forwarder,
      UniformRandomProvider random,
      MonotonicClock clock,
      BooleanSupplier isReady,
      ByteBudget budget,
      PrometheusMeterRegistry metrics) {
    this(
        settings,
        codec,
        gate,
        limitsSupplier,
        forwarder,
        random,
        clock,
        isReady,
        budget,
        metrics,
        HttpServer::create);
  }

  /** Creates a server on top of other HTTP servers than the default ones. */
  TrafficServer(
      TrafficServerSettings settings,
      TrafficCodec codec,
      RequestGate gate,
      Supplier<Optional<ClientLimits>> limitsSupplier,
      Forwarder forwarder,
      UniformRandomProvider random,
      MonotonicClock clock,
      BooleanSupplier isReady,
      ByteBudget budget,
      PrometheusMeterRegistry metrics,
      Supplier<HttpServer> newHttpServer) {
    this.settings = settings;
    this.codec = codec;
    this.gate = gate;
    this.limitsSupplier = limitsSupplier;
    this.forwarder = forwarder;
    this.endSignal = forwarder.getShutdownSignal();
    this.random = random;
    this.clock = clock;
    this.isReady = isReady;
    this.budget = budget;
    this.metrics = metrics;
    this.guards =
        new RequestGuards(limitsSupplier, budget, clock, settings.maxConnections(), metrics);
    this.operatorGuards = RequestGuards.ofOperators(clock, metrics);
    this.callerMetrics = new CallerMetrics(metrics);
    this.newHttpServer = newHttpServer;
    this.inFlight = metrics.gauge("fireflyshed.requests.in.flight", new AtomicInteger());
  }

  /**
   * Binds all listening sockets. Connections are established from then on, but wait until {@link
   * #startAccepting} is called.
   */
  public void start() {
    HttpServer trafficServer =
        newServer(guards, settings.callerAddress())
            .idleTimeout(IDLE_TIMEOUT)
            .doOnChannelInit((observer, channel, remoteAddress) -> connections.add(channel))
            .handle(this::handleRequest);
    HttpServer readinessServer =
        newServer(operatorGuards, settings.readinessAddress())
            .route(r -> r.get(settings.readinessPath(), this::handleReadiness));
    HttpServer metricsServer =
        newServer(operatorGuards, settings.metricsAddress())
            .route(r -> r.get("/metrics", this::handleMetrics));
    servers = List.of(bind(trafficServer), bind(readinessServer), bind(metricsServer));
  }

  /** Binds a server that doesn't accept connections; Reactor Netty ignores its AUTO_READ option. */
  private static DisposableServer bind(HttpServer server) {
    DisposableServer bound = server.bindNow();
    setAccepting(bound, false);
    return bound;
  }

  private static void setAccepting(DisposableServer server, boolean isAccepting) {
    Channel channel = server.channel();
    channel
        .eventLoop()
        .submit(() -> channel.config().setAutoRead(isAccepting))
        .syncUninterruptibly();
  }

  /** Starts to read the requests of connections. Has no effect if called again. */
  public void startAccepting() {
    servers.forEach(server -> setAccepting(server, true));
  }

  private HttpServer newServer(RequestGuards serverGuards, InetSocketAddress address) {
    return serverGuards
        .guard(newHttpServer.get())
        .bindAddress(() -> address)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, FairReads.newAllocator());
  }

  /**
   * Tests whether any request of a caller has arrived since the start.
   *
   * @return true from the first request on
   */
  public boolean hasRequests() {
    return hasRequests;
  }

  /**
   * Shuts down gracefully. The readiness probe fails from now on. Requests are taken as long as
   * they can be answered before the end of the shutdown and refused at once otherwise. After the
   * time in which the load balancer notices, connections are closed once their requests have been
   * answered, and the shutdown ends as soon as no request is in flight. Requests that are still in
   * flight at the end of the drain timeout end with an error.
   *
   * @param signalNanos the time of the signal to shut down as a reading of the monotonic clock,
   *     from which the drain delay and timeout count
   * @return a future of the number of requests that were ended with an error
   */
  public CompletableFuture<Integer> shutdown(long signalNanos) {
    forwarder.beginStop();
    shutdownNanos = signalNanos;
    Duration drainTime = settings.drainDelay().plus(settings.drainTimeout());
    admission = new ShutdownAdmission(durations, shutdownNanos, settings.drainDelay(), drainTime);
    log.info("draining", "in_flight", inFlight.get(), "connections", connections.count());
    return Mono.delay(settings.drainDelay().minus(getShutdownTime()))
        .doOnNext(t -> connections.closeIdle())
        .then(awaitIdle(drainTime))
        .doOnSuccess(ignored -> isClosing = true)
        .then(awaitIdle(drainTime))
        .then(Mono.defer(this::endRemaining))
        .toFuture();
  }

  /** Ends the requests in flight with an error and returns their number. */
  private Mono<Integer> endRemaining() {
    int remaining = inFlight.get();
    log.info("closed", "in_flight", remaining, "connections", connections.count());
    endSignal.fire();
    return awaitIdle(getShutdownTime().plus(FLUSH_TIMEOUT)).thenReturn(remaining);
  }

  /** Closes the listening sockets and all connections. */
  public void close() {
    servers.forEach(DisposableServer::dispose);
    connections.close(CLOSE_TIMEOUT);
  }

  /** Waits until no request is in flight, or until a time after the start of the shutdown. */
  private Mono<Void> awaitIdle(Duration maxShutdownTime) {
    return Flux.interval(Duration.ZERO, DRAIN_POLL_INTERVAL)
        .takeUntil(t -> isIdle() || getShutdownTime().compareTo(maxShutdownTime) >= 0)
        .then();
  }

  private boolean isIdle() {
    return inFlight.get() == 0 && connections.countUnanswered() == 0;
  }

  private Duration getShutdownTime() {
    return Duration.ofNanos(clock.nanoTime() - shutdownNanos);
  }

  private Publisher<Void> handleReadiness(HttpServerRequest request, HttpServerResponse response) {
    boolean ready = admission == null && isReady.getAsBoolean();
    return response.status(ready ? OK : UNAVAILABLE).send();
  }

  private Publisher<Void> handleMetrics(HttpServerRequest request, HttpServerResponse response) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        .sendString(Mono.fromSupplier(metrics::scrape));
  }

  private Publisher<Void> handleRequest(HttpServerRequest request, HttpServerResponse response) {
    Duration readDelay = connections.getReadDelay(getChannel(response));
    long arrivalNanos = clock.nanoTime() - readDelay.toNanos();
    hasRequests = true;
    inFlight.incrementAndGet();
    return Mono.defer(() -> serve(request, response, arrivalNanos, readDelay))
        .doFinally(
            signal -> {
              inFlight.decrementAndGet();
              Duration time = Duration.ofNanos(clock.nanoTime() - arrivalNanos);
              callerMetrics.recordEnd(response, signal.name(), time);
            });
  }

  private Mono<Void> serve(
      HttpServerRequest httpRequest,
      HttpServerResponse response,
      long arrivalNanos,
      Duration readDelay) {
    TrafficRequest request;
    try {
      request =
          codec.decodeRequest(
              httpRequest.method(), httpRequest.uri(), httpRequest.requestHeaders());
    } catch (IllegalArgumentException e) {
      return discardAndDeny(
          httpRequest,
          response,
          "-",
          new RequestGate.Decision.Deny(BAD_REQUEST, e.getMessage(), Optional.empty()));
    }
    RequestGate.Decision decision = gate.authorize(request);
    if (decision instanceof RequestGate.Decision.Deny denial) {
      return discardAndDeny(httpRequest, response, request.id(), denial);
    }
    RequestGate.Decision.Allow allowed = (RequestGate.Decision.Allow) decision;
    if (isOverdue(request, allowed.route(), readDelay)) {
      return discardAndDeny(
          httpRequest,
          response,
          request.id(),
          new RequestGate.Decision.Deny(UNAVAILABLE, READ_LATE, Optional.of(RETRY_ELSEWHERE)));
    }
    if (admission != null) {
      logDuringShutdown(httpRequest, request);
    }
    int bodyLength = BodyReader.getStatedLength(httpRequest, getMaxBodyBytes());
    Optional<ByteBudget.Reservation> reservation =
        budget.tryReserve(newClaim(allowed), REQUEST_BYTES + bodyLength);
    if (reservation.isEmpty()) {
      return discardAndDeny(
          httpRequest,
          response,
          request.id(),
          new RequestGate.Decision.Deny(UNAVAILABLE, NO_ROOM, Optional.of(budget.getRetryAfter())));
    }
    HeldBody body = new HeldBody(reservation, bodyLength);
    RoutedRequest routed =
        newRoutedRequest(
            request, body, allowed, arrivalNanos, connections.newLink(getChannel(response)));
    return readAndForward(httpRequest, response, routed).doFinally(signal -> body.close());
  }

  /** Creates the claim of a request to hold its body. */
  private static ByteClaim newClaim(RequestGate.Decision.Allow allowed) {
    Set<ByteOwner> owners = getAccounts(allowed.account().map(ClientAccount::name));
    owners.add(new ByteOwner(ByteOwner.Kind.ROUTE, allowed.route().name()));
    return new ByteClaim(ByteUse.REQUEST, owners, !allowed.route().isRetryable());
  }

  private static Set<ByteOwner> getAccounts(Optional<String> account) {
    Set<ByteOwner> owners = new HashSet<>();
    account.ifPresent(name -> owners.add(new ByteOwner(ByteOwner.Kind.ACCOUNT, name)));
    return owners;
  }

  private Mono<Void> readAndForward(
      HttpServerRequest httpRequest, HttpServerResponse response, RoutedRequest routed) {
    AtomicBoolean isForwarded = new AtomicBoolean();
    Flux<ResponsePart> parts =
        endSignal
            .failOnShutdown(
                readBody(httpRequest, routed).flux(),
                () -> ForwardException.ofShutdown(Outcome.NOT_RUN))
            .thenMany(Flux.defer(() -> forward(routed, isForwarded)));
    String id = routed.request().id();
    return send(
            parts.doOnError(e -> closeAfterUnreadBody(response, isForwarded.get())),
            routed,
            response)
        .onErrorResume(ProblemException.class, e -> sendProblem(response, id, e.getProblem()));
  }

  private Mono<Void> readBody(HttpServerRequest httpRequest, RoutedRequest routed) {
    return BodyReader.read(
        httpRequest, routed.body(), getMaxBodyBytes(), routed.timeout(), this::newNoRoomException);
  }

  private ForwardException newNoRoomException() {
    return new ForwardException(
        "read", "entry", NO_ROOM, Outcome.NOT_RUN, budget.getRetryAfter(), false);
  }

  private int getMaxBodyBytes() {
    return limitsSupplier.get().orElse(DEFAULT_LIMITS).maxBodyBytes();
  }

  /**
   * Denies a request after its body has been read. Reactor Netty can lose the response to the next
   * request on the connection if a pipelined request is answered before its body is read.
   */
  private Mono<Void> discardAndDeny(
      HttpServerRequest httpRequest,
      HttpServerResponse response,
      String id,
      RequestGate.Decision.Deny denial) {
    return BodyReader.discard(httpRequest, getMaxBodyBytes())
        .doOnError(e -> closeAfterUnreadBody(response, false))
        .onErrorComplete(ProblemException.class)
        .then(Mono.defer(() -> sendDenial(response, id, denial)));
  }

  private static void closeAfterUnreadBody(HttpServerResponse response, boolean isBodyRead) {
    if (!isBodyRead) {
      response.keepAlive(false);
    }
  }

  /** Logs a request that arrives after the start of the shutdown. */
  private void logDuringShutdown(HttpServerRequest httpRequest, TrafficRequest request) {
    log.info(
        "arrived while draining",
        "request",
        request.id(),
        "after_ms",
        getShutdownTime().toMillis(),
        "connection_request",
        httpRequest.requestId(),
        "deadline_ms",
        request.deadline().map(Duration::toMillis).orElse(-1L));
  }

  /**
   * Tests whether a request was read so late that no target can respond in time, and records it.
   */
  private boolean isOverdue(TrafficRequest request, Route route, Duration readDelay) {
    if (readDelay.isZero()) {
      return false;
    }
    callerMetrics.recordLateRead(readDelay);
    log.info("read late", "request", request.id(), "waited_ms", readDelay.toMillis());
    return RequestTimeout.isOver(request, route, readDelay);
  }

  private RoutedRequest newRoutedRequest(
      TrafficRequest request,
      HeldBody body,
      RequestGate.Decision.Allow allowed,
      long arrivalNanos,
      CallerLink caller) {
    return new RoutedRequest(
        request,
        body,
        allowed.route(),
        allowed.route().selectService(random.nextDouble()).service(),
        allowed.account().map(ClientAccount::name),
        Rank.of(allowed.route(), allowed.account()),
        allowed.version(),
        arrivalNanos,
        RequestTimeout.get(request, allowed.route()),
        caller);
  }

  private Flux<ResponsePart> forward(RoutedRequest routed, AtomicBoolean isForwarded) {
    isForwarded.set(true);
    if (!canFinish(routed)) {
      return Flux.error(ForwardException.ofShutdown(Outcome.NOT_RUN));
    }
    return forwarder
        .forward(routed)
        .switchOnFirst(
            (first, parts) ->
                isError(first.get()) ? parts : parts.doOnTerminate(() -> recordDuration(routed)));
  }

  /** Tests whether a response is an error, which says nothing about the time for a success. */
  private static boolean isError(ResponsePart first) {
    return first instanceof ResponsePart.Head head && !head.response().isSuccess();
  }

  private boolean canFinish(RoutedRequest routed) {
    ShutdownAdmission currentAdmission = admission;
    if (currentAdmission == null) {
      return true;
    }
    long now = clock.nanoTime();
    return !isClosing
        && currentAdmission.canFinish(routed.route(), routed.getRemainingTime(now), now);
  }

  private void recordDuration(RoutedRequest routed) {
    long now = clock.nanoTime();
    durations.record(routed.route().name(), Duration.ofNanos(now - routed.arrivalNanos()), now);
  }

  private Mono<Void> send(
      Flux<ResponsePart> parts, RoutedRequest routed, HttpServerResponse response) {
    return parts
        .switchOnFirst(
            (first, all) -> {
              if (first.hasValue() && first.get() instanceof ResponsePart.Head head) {
                logResponse(routed, head);
                return sendResponse(response, routed, head.response(), all.skip(1));
              }
              return all.then();
            })
        .then()
        .onErrorResume(
            ForwardException.class,
            e ->
                response.hasSentHeaders()
                    ? Mono.error(e)
                    : sendFailure(response, routed.request().id(), e));
  }

  /** Logs where a response comes from, before its caller gets it. */
  private void logResponse(RoutedRequest routed, ResponsePart.Head head) {
    List<Object> fields = new ArrayList<>(List.of("request", routed.request().id()));
    fields.addAll(head.getLogFields());
    log.info("responded", fields.toArray());
  }

  /** Tells the caller to close its connection during a shutdown, unless it sent more requests. */
  private void setKeepAlive(HttpServerResponse response) {
    boolean isClosed =
        response
            .responseHeaders()
            .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (admission != null && !isClosed) {
      response.withConnection(
          c -> response.keepAlive(connections.hasPipelinedRequests(c.channel())));
    }
  }

  private Mono<Void> sendResponse(
      HttpServerResponse response,
      RoutedRequest routed,
      TargetAnswer targetResponse,
      Flux<ResponsePart> chunks) {
    HttpHeaders headers = codec.newCallerHeaders(targetResponse);
    setKeepAlive(response);
    response.status(targetResponse.status());
    response.responseHeaders().add(headers);
    if (routed.route().kind() != RequestKind.STREAM) {
      // The body of a stream may have other events than that of the target.
      targetResponse
          .getStatedLength()
          .ifPresent(length -> response.header(HttpHeaderNames.CONTENT_LENGTH, "" + length));
    }
    Channel channel = getChannel(response);
    Flux<ByteBuf> body =
        endUnread(chunks, routed)
            .concatMap(
                chunk -> awaitCaller(channel, routed, ((ResponsePart.BodyChunk) chunk).bytes()), 1)
            .doOnError(e -> closeBroken(response, channel));
    return response.send(body, chunk -> true).then();
  }

  /**
   * Closes the connection of a broken response some time later. Reactor Netty does that only once
   * the caller has read what was written before.
   */
  private static void closeBroken(HttpServerResponse response, Channel channel) {
    if (response.hasSentHeaders()) {
      channel
          .eventLoop()
          .schedule(() -> channel.close(), READ_GRACE.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Ends a response that its caller has not read some time after the timeout of its request. An
   * entry that was suspended may begin it after the timeout; its caller has that time from then.
   */
  private Flux<ResponsePart> endUnread(Flux<ResponsePart> parts, RoutedRequest routed) {
    Duration remaining = routed.getRemainingTime(clock.nanoTime());
    Duration patience = remaining.isNegative() ? READ_GRACE : remaining.plus(READ_GRACE);
    return StreamUtils.failOn(
        parts,
        Mono.delay(patience),
        () -> newSlowCallerException(routed, "the response was not read in time", true));
  }

  /**
   * Returns a part of a response once the caller has read enough of the parts before. A caller for
   * whose unread bytes there is no room any more loses its connection.
   */
  private Mono<ByteBuf> awaitCaller(Channel channel, RoutedRequest routed, byte[] bytes) {
    if (channel.isWritable()) {
      return Mono.just(Unpooled.wrappedBuffer(bytes));
    }
    ByteClaim claim = new ByteClaim(ByteUse.UNREAD, getAccounts(routed.account()), false);
    Optional<ByteBudget.Reservation> unread = budget.tryReserve(claim, UNREAD_BYTES);
    if (unread.isEmpty()) {
      return Mono.error(newSlowCallerException(routed, NO_ROOM, false));
    }
    return connections
        .awaitWritable(channel)
        .doFinally(signal -> unread.get().close())
        .then(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)));
  }

  private ForwardException newSlowCallerException(
      RoutedRequest routed, String message, boolean isTimeout) {
    log.warn("caller reads too slowly", "request", routed.request().id());
    return new ForwardException(
        "send", "caller", message, Outcome.RAN, budget.getRetryAfter(), isTimeout);
  }

  private static Channel getChannel(HttpServerResponse response) {
    AtomicReference<Channel> channel = new AtomicReference<>();
    response.withConnection(connection -> channel.set(connection.channel()));
    return channel.get();
  }

  private Mono<Void> sendFailure(HttpServerResponse response, String id, ForwardException error) {
    if (error.getOutcome() == Outcome.NOT_RUN) {
      return sendDenial(
          response,
          id,
          new RequestGate.Decision.Deny(
              UNAVAILABLE, error.getMessage(), Optional.of(error.getRetryAfter())));
    }
    int status = error.isTimeout() ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    return sendDenial(
        response, id, new RequestGate.Decision.Deny(status, error.getMessage(), Optional.empty()));
  }

  private Mono<Void> sendProblem(HttpServerResponse response, String id, Problem problem) {
    return sendDenial(
        response,
        id,
        new RequestGate.Decision.Deny(problem.status(), problem.type(), Optional.empty()));
  }

  private Mono<Void> sendDenial(
      HttpServerResponse response, String id, RequestGate.Decision.Deny denial) {
    log.info(
        "answered",
        "request",
        id,
        "status",
        denial.status(),
        "reason",
        denial.reason(),
        "retry_after",
        denial.retryAfter().map(Duration::toMillis).orElse(-1L));
    setKeepAlive(response);
    response.status(denial.status());
    denial
        .retryAfter()
        .ifPresent(
            delay ->
                response.header(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", delay.toNanos() / NANOS_PER_SECOND)));
    return response.sendString(Mono.just(denial.reason() + "\n")).then();
  }
}
