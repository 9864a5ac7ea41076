package io.fireflyshed.transport.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.state.replica.ServingView;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP server of an entry for its callers. Thread safe. */
public final class EntryServer {

  private static final Logger LOG = LoggerFactory.getLogger(EntryServer.class);
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_INITIAL_LINE_BYTES = 4 * 1024;
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(20);

  private final EntrySettings settings;
  private final Supplier<ServingView> views;
  private final CompletionHandler completions;
  private final OrderHandler orders;
  private final PrometheusMeterRegistry metrics;
  private final AtomicInteger inFlight;
  private final ShutdownSignal shutdown = new ShutdownSignal();
  private final RequestCounter counter;
  private volatile boolean isDraining;

  /** Whether the shutdown takes no more requests at all. */
  private volatile boolean isClosing;

  private DisposableServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings the settings, not null
   * @param views supplies the published view, not null
   * @param completions handles completions, not null
   * @param orders handles orders and lookups, not null
   * @param metrics the metrics to publish, not null
   */
  public EntryServer(
      EntrySettings settings,
      Supplier<ServingView> views,
      CompletionHandler completions,
      OrderHandler orders,
      PrometheusMeterRegistry metrics) {
    this.settings = settings;
    this.views = views;
    this.completions = completions;
    this.orders = orders;
    this.metrics = metrics;
    this.inFlight = metrics.gauge("fireflyshed.requests.in.flight", new AtomicInteger());
    this.counter = new RequestCounter(inFlight, () -> isClosing);
  }

  /**
   * Starts listening.
   *
   * @return the bound address, never null
   */
  public InetSocketAddress start() {
    server =
        HttpServer.create()
            .bindAddress(settings::listen)
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(
                spec ->
                    spec.maxHeaderSize(MAX_HEADER_BYTES)
                        .maxInitialLineLength(MAX_INITIAL_LINE_BYTES))
            .route(this::addRoutes)
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  /**
   * Shuts the server down gracefully.
   *
   * <p>The server reports that it is not ready and waits for the drain delay, in which the load
   * balancer should notice. It then waits for the requests in flight, up to the drain timeout.
   * Those that are still in flight then end with an error, and the server closes.
   *
   * @return a future of the number of requests that were still in flight at the drain timeout
   */
  public CompletableFuture<Integer> shutdown() {
    isDraining = true;
    LOG.info("entry: draining, {} requests in flight", inFlight.get());
    return Mono.delay(settings.drainDelay())
        .then(
            awaitIdle()
                .doOnSuccess(ignored -> isClosing = true)
                .then(awaitIdle())
                .timeout(settings.drainTimeout(), Mono.empty()))
        .then(Mono.defer(this::endRemaining))
        .toFuture();
  }

  /** Ends the remaining requests with an error, closes the server and returns their number. */
  private Mono<Integer> endRemaining() {
    isClosing = true;
    int remaining = inFlight.get();
    shutdown.fire();
    return awaitIdle()
        .timeout(FLUSH_TIMEOUT, Mono.empty())
        .then(
            Mono.<Void>fromRunnable(() -> close(remaining))
                .subscribeOn(Schedulers.boundedElastic()))
        .thenReturn(remaining);
  }

  private void close(int remaining) {
    server.disposeNow(FLUSH_TIMEOUT);
    LOG.info("entry: closed, {} requests ended before their response was complete", remaining);
  }

  private Mono<Void> awaitIdle() {
    return Flux.interval(Duration.ZERO, IDLE_POLL_INTERVAL)
        .takeUntil(t -> inFlight.get() == 0)
        .then();
  }

  private void addRoutes(HttpServerRoutes routes) {
    for (CompletionKind kind : CompletionKind.values()) {
      routes.post(
          kind.getPath(),
          countInFlight(
              (request, response) -> completions.handle(kind, request, response, shutdown)));
    }
    routes.get("/v1/models", this::sendModels);
    routes.post(
        "/v1/services/{service}/orders",
        countInFlight((request, response) -> orders.handleOrder(request, response, shutdown)));
    routes.get(
        "/v1/services/{service}/lookups/{key}",
        countInFlight((request, response) -> orders.handleLookup(request, response, shutdown)));
    routes.get("/livez", (request, response) -> response.sendString(Mono.just("ok\n")));
    routes.get("/readyz", this::sendReadiness);
    routes.get(
        "/metrics",
        (request, response) ->
            response
                .header(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
                .sendString(Mono.fromSupplier(metrics::scrape)));
  }

  private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> countInFlight(
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    return (request, response) ->
        counter.count(
            () -> {
              response.keepAlive(!isDraining);
              return handler.apply(request, response);
            },
            () -> ProblemWriter.send(response.keepAlive(false), newShutdownProblem()));
  }

  private static Problem newShutdownProblem() {
    return Problem.ofLater(503, "shutting-down", "the entry is shutting down", RETRY_AFTER_SECONDS);
  }

  private Publisher<Void> sendReadiness(HttpServerRequest request, HttpServerResponse response) {
    boolean isReady = !isDraining && !views.get().services().isEmpty();
    return response.status(isReady ? 200 : 503).sendString(Mono.just(isReady ? "ok\n" : "no\n"));
  }

  private Publisher<Void> sendModels(HttpServerRequest request, HttpServerResponse response) {
    ObjectNode list = JsonUtils.getMapper().createObjectNode();
    list.put("object", "list");
    ArrayNode data = list.putArray("data");
    views
        .get()
        .services()
        .keySet()
        .forEach(service -> data.addObject().put("id", service.value()).put("object", "model"));
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(list)));
  }
}
