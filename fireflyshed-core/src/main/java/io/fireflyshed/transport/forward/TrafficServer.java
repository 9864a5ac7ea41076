package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.traffic.ClientAccount;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.transport.http.BodyReader;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
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
 * Serves callers whose requests are passed on as they are, and the balancer's question for
 * readiness. Thread safe.
 */
public final class TrafficServer {

  /** The most bytes of a request line; the headers have a limit of their own. */
  private static final int MAX_INITIAL_LINE_BYTES = 16 * 1024;

  private static final int MAX_HEADER_BYTES = 64 * 1024;

  /** Connections are kept longer than any limit that a configuration sets for callers. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  private static final Duration DRAIN_POLL = Duration.ofMillis(20);
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

  /** The wait of a caller that names no deadline. */
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

  private static final ClientLimits DEFAULT_LIMITS =
      new ClientLimits(16384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TrafficServerSettings settings;
  private final TrafficCodec codec;
  private final RequestGate gate;
  private final Supplier<Optional<ClientLimits>> limits;
  private final Forwarder forwarder;
  private final UniformRandomProvider random;
  private final MonotonicClock clock;
  private final BooleanSupplier isReady;
  private final PrometheusMeterRegistry metrics;
  private final AtomicInteger inFlight;
  private final EventLog log = new EventLog("entry");
  private final Map<String, Timer> timers = new ConcurrentHashMap<>();
  private volatile boolean hasRequests;
  private volatile boolean isDraining;
  private List<DisposableServer> servers = List.of();

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings the settings, not null
   * @param codec translates headers, not null
   * @param gate decides on requests, not null
   * @param limits gets the limits of the newest configuration, not null
   * @param forwarder passes requests on, not null
   * @param random chooses among the services of a route, not null
   * @param clock the clock of this process, not null
   * @param isReady tells whether requests can be served, not null
   * @param metrics the metrics to publish, not null
   */
  public TrafficServer(
      TrafficServerSettings settings,
      TrafficCodec codec,
      RequestGate gate,
      Supplier<Optional<ClientLimits>> limits,
      Forwarder forwarder,
      UniformRandomProvider random,
      MonotonicClock clock,
      BooleanSupplier isReady,
      PrometheusMeterRegistry metrics) {
    this.settings = settings;
    this.codec = codec;
    this.gate = gate;
    this.limits = limits;
    this.forwarder = forwarder;
    this.random = random;
    this.clock = clock;
    this.isReady = isReady;
    this.metrics = metrics;
    this.inFlight = metrics.gauge("fireflyshed.requests.in.flight", new AtomicInteger());
  }

  /** Starts to listen. */
  public void start() {
    DisposableServer traffic =
        newServer(settings.listen())
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(
                spec ->
                    spec.maxHeaderSize(MAX_HEADER_BYTES)
                        .maxInitialLineLength(MAX_INITIAL_LINE_BYTES))
            .handle(this::handle)
            .bindNow();
    DisposableServer readiness =
        newServer(settings.readinessListen())
            .route(r -> r.get(settings.readinessPath(), this::answerReady))
            .bindNow();
    DisposableServer scrape =
        newServer(settings.metricsListen())
            .route(r -> r.get("/metrics", this::answerMetrics))
            .bindNow();
    servers = List.of(traffic, readiness, scrape);
  }

  private static HttpServer newServer(InetSocketAddress listen) {
    return HttpServer.create().bindAddress(() -> listen);
  }

  /**
   * Tests whether a caller's request has come since the start.
   *
   * @return true from the first request on
   */
  public boolean hasRequests() {
    return hasRequests;
  }

  /**
   * Shuts down without cutting requests off: answers not ready, goes on serving until the balancer
   * has noticed, waits for the requests in flight and closes.
   *
   * @return a future of the number of requests that were still in flight at the end
   */
  public CompletableFuture<Integer> shutdown() {
    isDraining = true;
    log.info("draining", "in_flight", inFlight.get());
    return Mono.delay(settings.drainDelay())
        .then(awaitIdle().timeout(settings.drainTimeout(), Mono.empty()))
        .then(Mono.fromSupplier(inFlight::get))
        .doOnNext(left -> log.info("closed", "in_flight", left))
        .toFuture();
  }

  /** Closes the listening sockets. */
  public void close() {
    servers.forEach(s -> s.disposeNow(CLOSE_TIMEOUT));
  }

  private Mono<Void> awaitIdle() {
    return Flux.interval(DRAIN_POLL).takeUntil(t -> inFlight.get() == 0).then();
  }

  private Publisher<Void> answerReady(HttpServerRequest request, HttpServerResponse response) {
    boolean ready = !isDraining && isReady.getAsBoolean();
    return response.status(ready ? OK : UNAVAILABLE).send();
  }

  private Publisher<Void> answerMetrics(HttpServerRequest request, HttpServerResponse response) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        .sendString(Mono.fromSupplier(metrics::scrape));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    long arrivalNanos = clock.nanoTime();
    hasRequests = true;
    response.keepAlive(!isDraining);
    inFlight.incrementAndGet();
    return Mono.defer(() -> serve(request, response, arrivalNanos))
        .doFinally(
            signal -> {
              inFlight.decrementAndGet();
              record(response, signal.name(), clock.nanoTime() - arrivalNanos);
            });
  }

  private void record(HttpServerResponse response, String end, long nanos) {
    String status = String.valueOf(response.status().code());
    timers
        .computeIfAbsent(status + " " + end, key -> newTimer(status, end))
        .record(Duration.ofNanos(nanos));
  }

  private Timer newTimer(String status, String end) {
    return Timer.builder("fireflyshed.requests")
        .tag("status", status)
        .tag("end", end)
        .publishPercentileHistogram()
        .register(metrics);
  }

  private Mono<Void> serve(
      HttpServerRequest request, HttpServerResponse response, long arrivalNanos) {
    TrafficRequest descriptor;
    try {
      descriptor = codec.decodeRequest(request.method(), request.uri(), request.requestHeaders());
    } catch (IllegalArgumentException e) {
      return deny(
          response,
          "-",
          new RequestGate.Verdict.Deny(BAD_REQUEST, e.getMessage(), Optional.empty()));
    }
    RequestGate.Verdict verdict = gate.decide(descriptor);
    if (verdict instanceof RequestGate.Verdict.Deny deny) {
      return deny(response, descriptor.id(), deny);
    }
    RequestGate.Verdict.Allow allow = (RequestGate.Verdict.Allow) verdict;
    ClientLimits bounds = limits.get().orElse(DEFAULT_LIMITS);
    Duration limit = getLimit(descriptor, allow.route());
    return BodyReader.read(request, bounds.maxBodyBytes(), limit)
        .defaultIfEmpty(new byte[0])
        .flatMap(
            body -> forward(newForward(descriptor, body, allow, arrivalNanos, limit), response))
        .onErrorResume(
            ProblemException.class, e -> answerProblem(response, descriptor.id(), e.getProblem()));
  }

  private static Duration getLimit(TrafficRequest request, Route route) {
    Duration deadline = request.deadline().orElse(DEFAULT_DEADLINE);
    return deadline.compareTo(route.timeout()) < 0 ? deadline : route.timeout();
  }

  private ForwardRequest newForward(
      TrafficRequest request,
      byte[] body,
      RequestGate.Verdict.Allow allow,
      long arrivalNanos,
      Duration limit) {
    return new ForwardRequest(
        request,
        body,
        allow.route(),
        allow.route().choose(random.nextDouble()).service(),
        allow.account().map(ClientAccount::name),
        allow.version(),
        arrivalNanos,
        limit);
  }

  private Mono<Void> forward(ForwardRequest forward, HttpServerResponse response) {
    return forwarder
        .forward(forward)
        .switchOnFirst(
            (first, parts) -> {
              if (first.hasValue() && first.get() instanceof AnswerPart.Head head) {
                return answer(response, head.answer(), parts.skip(1));
              }
              return parts.then();
            })
        .then()
        .onErrorResume(
            ForwardException.class,
            e ->
                response.hasSentHeaders()
                    ? Mono.error(e)
                    : answerFailure(response, forward.request().id(), e));
  }

  private Mono<Void> answer(
      HttpServerResponse response, TargetAnswer answer, Flux<AnswerPart> pieces) {
    HttpHeaders headers = codec.newCallerHeaders(answer);
    response.status(answer.status());
    response.responseHeaders().add(headers);
    Flux<ByteBuf> body =
        pieces.map(piece -> Unpooled.wrappedBuffer(((AnswerPart.Piece) piece).bytes()));
    return response.send(body, piece -> true).then();
  }

  private Mono<Void> answerFailure(HttpServerResponse response, String id, ForwardException error) {
    if (error.getOutcome() == Outcome.NOT_RUN) {
      return deny(
          response,
          id,
          new RequestGate.Verdict.Deny(
              UNAVAILABLE, error.getMessage(), Optional.of(error.getRetryAfter())));
    }
    int status = error.isTimeout() ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    return deny(
        response, id, new RequestGate.Verdict.Deny(status, error.getMessage(), Optional.empty()));
  }

  private Mono<Void> answerProblem(HttpServerResponse response, String id, Problem problem) {
    return deny(
        response,
        id,
        new RequestGate.Verdict.Deny(problem.status(), problem.type(), Optional.empty()));
  }

  private Mono<Void> deny(
      HttpServerResponse response, String id, RequestGate.Verdict.Deny verdict) {
    log.info(
        "answered",
        "request",
        id,
        "status",
        verdict.status(),
        "reason",
        verdict.reason(),
        "retry_after",
        verdict.retryAfter().map(Duration::toMillis).orElse(-1L));
    response.status(verdict.status());
    verdict
        .retryAfter()
        .ifPresent(
            wait ->
                response.header(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", wait.toNanos() / NANOS_PER_SECOND)));
    return response.sendString(Mono.just(verdict.reason() + "\n")).then();
  }
}
