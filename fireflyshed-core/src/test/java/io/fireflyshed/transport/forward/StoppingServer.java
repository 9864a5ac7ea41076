package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.protocol.traffic.PromptDescriptor;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.RouteTable;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import io.fireflyshed.transport.http.LocalPortUtils;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;

/**
 * A {@link TrafficServer} whose targets take as many milliseconds as the last part of the path
 * says, and which is closed as soon as its shutdown ends, as a process that exits.
 */
final class StoppingServer implements AutoCloseable {

  static final Duration DRAIN_DELAY = Duration.ofMillis(300);
  static final Duration DRAIN_TIMEOUT = Duration.ofMillis(1500);
  static final String ORDER_PATH = "/orders/";
  static final String STREAM_PATH = "/streams/";

  /** Requests that occupy the event loop for as many milliseconds as the last part says. */
  static final String BUSY_PATH = "/busy/";

  private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration EVENT_INTERVAL = Duration.ofMillis(20);
  private static final int TARGETS = 50;

  /** Far more than the end of a shutdown takes whose time has passed. */
  private static final Duration END_TIME = Duration.ofMillis(200);

  private final InetSocketAddress address = LocalPortUtils.findFreeAddress();
  private final Set<String> takenRequests = ConcurrentHashMap.newKeySet();
  private final Map<String, Duration> sentRequests = new ConcurrentHashMap<>();
  private final TrafficServer server;
  private volatile long skippedNanos;
  private volatile boolean areTargetsSilent;
  private volatile boolean isHealthChecked;
  private volatile boolean isEndedByNextResponse;

  StoppingServer() {
    this(HttpServer::create);
  }

  /** Creates a server on top of other HTTP servers than the default ones. */
  StoppingServer(Supplier<HttpServer> newHttpServer) {
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    server =
        new TrafficServer(
            new TrafficServerSettings(
                address,
                LocalPortUtils.findFreeAddress(),
                "/readyz",
                LocalPortUtils.findFreeAddress(),
                DRAIN_DELAY,
                DRAIN_TIMEOUT),
            new Codec(),
            new RequestGate(
                () -> Optional.of(newConfiguration()), () -> Duration.ZERO, Duration.ofSeconds(1)),
            Optional::empty,
            newForwarder(metrics),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            () -> System.nanoTime() + skippedNanos,
            () -> true,
            new ByteBudget(1 << 20, MonotonicClock.system(), ByteBudget.Listener.none()),
            metrics,
            newHttpServer);
    server.start();
    server.startAccepting();
  }

  InetSocketAddress getAddress() {
    return address;
  }

  /** Tests whether a request was taken, of which the body may be missing. */
  boolean isTaken(String id) {
    return takenRequests.contains(id);
  }

  /** Tests whether a request was passed on to a target. */
  boolean isSent(String id) {
    return sentRequests.containsKey(id);
  }

  /** Gets the time that a target was given for a request. */
  Duration getTargetTime(String id) {
    return sentRequests.get(id);
  }

  /** Tests whether a silent target was asked whether it responds. */
  boolean isHealthChecked() {
    return isHealthChecked;
  }

  /** Lets time pass for the server in which it does nothing, as while it is suspended. */
  void skip(Duration time) {
    skippedNanos += time.toNanos();
  }

  /** Makes targets send nothing from now on. */
  void silenceTargets() {
    areTargetsSilent = true;
  }

  /** Starts the shutdown and returns a future of its end, by which all connections are closed. */
  CompletableFuture<Void> stop() {
    return server.shutdown(System.nanoTime()).thenAcceptAsync(inFlight -> close());
  }

  /** Ends all requests once the headers of the next response are passed on, before its body. */
  void endAtNextResponse() {
    isEndedByNextResponse = true;
  }

  @Override
  public void close() {
    server.close();
  }

  static String newRequest(String id, String path, long deadlineMillis) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: h\r\nX-Id: "
        + id
        + "\r\nX-Deadline: "
        + deadlineMillis
        + "\r\n\r\n";
  }

  private Forwarder newForwarder(PrometheusMeterRegistry metrics) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    List<Target> targets =
        IntStream.range(0, TARGETS)
            .mapToObj(i -> ForwardFixtures.newTarget("target-" + i))
            .toList();
    TargetPlacer placer =
        new TargetPlacer(
            placement,
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(2),
            ForwardFixtures.newSchedule());
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> true),
        placer,
        new StallDetector(placement),
        this::send,
        new HealthCheckValidator(
            new SilentHealthCheck(),
            target -> Mono.empty(),
            placer,
            Reachability.always(),
            MonotonicClock.system(),
            metrics),
        new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 0),
        ForwardFixtures.newCrashGuard(),
        MonotonicClock.system(),
        stalledTarget -> {},
        metrics,
        Reachability.always(),
        RequestRelay.none(),
        ByteBudget.unlimited(MonotonicClock.system()));
  }

  /** Asks targets only while they are silent. */
  private final class SilentHealthCheck implements HealthCheck {
    @Override
    public boolean isAvailable(Target target) {
      return areTargetsSilent;
    }

    @Override
    public Mono<Void> check(Target target) {
      isHealthChecked = true;
      return Mono.never();
    }
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    String id = routed.request().id();
    sentRequests.put(id, remaining);
    String path = routed.request().getPath();
    long millis = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Flux<ResponsePart> head = Flux.just(ForwardFixtures.newHead(id, 200));
    if (routed.route().kind() != RequestKind.STREAM) {
      return head.concatWith(
          Mono.delay(Duration.ofMillis(millis), Schedulers.boundedElastic())
              .map(t -> ForwardFixtures.newBodyChunk(id)));
    }
    long events = Math.max(1, millis / EVENT_INTERVAL.toMillis());
    return head.concatWith(
        Flux.interval(EVENT_INTERVAL)
            .take(events)
            .onBackpressureBuffer()
            .map(n -> ForwardFixtures.newBodyChunk("id: " + n + "\ndata: " + id + "\n\n")));
  }

  private static TrafficConfiguration newConfiguration() {
    List<Route> routes =
        List.of(
            newRoute(ORDER_PATH, RequestKind.NON_IDEMPOTENT),
            newRoute(STREAM_PATH, RequestKind.STREAM));
    return new TrafficConfiguration(
        1,
        new RouteTable(routes),
        Map.of(),
        Map.of(),
        false,
        new ClientLimits(16384, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private static Route newRoute(String prefix, RequestKind kind) {
    Route route = ForwardFixtures.newRoute(kind, true, ROUTE_TIMEOUT);
    return new Route(
        prefix,
        route.host(),
        prefix,
        kind,
        route.timeout(),
        route.latencyTarget(),
        route.priority(),
        route.services(),
        route.maxAttempts(),
        route.isPublic(),
        route.isResumable());
  }

  private static void occupy(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads the id and the deadline of a request. */
  private final class Codec implements TrafficCodec {

    @Override
    public TrafficRequest decodeRequest(HttpMethod method, String uri, HttpHeaders headers) {
      if (uri.startsWith(BUSY_PATH)) {
        occupy(Duration.ofMillis(Long.parseLong(uri.substring(BUSY_PATH.length()))));
      }
      String id = headers.get("X-Id");
      takenRequests.add(id);
      return new TrafficRequest(
          id,
          method,
          uri,
          headers.get("Host"),
          headers,
          Optional.empty(),
          Optional.of(Duration.ofMillis(Long.parseLong(headers.get("X-Deadline")))),
          uri.startsWith(STREAM_PATH)
              ? Optional.of(new PromptDescriptor("m", 10, 10, OptionalInt.empty(), List.of()))
              : Optional.empty(),
          OptionalLong.empty());
    }

    @Override
    public HttpHeaders newTargetHeaders(
        TrafficRequest request,
        Target target,
        Optional<String> account,
        Duration remainingTime,
        OptionalLong lastEventId) {
      throw new UnsupportedOperationException("the targets of this test take no headers");
    }

    @Override
    public TargetAnswer decodeAnswer(int status, HttpHeaders headers) {
      throw new UnsupportedOperationException("the targets of this test send no headers");
    }

    @Override
    public HttpHeaders newCallerHeaders(TargetAnswer response) {
      if (isEndedByNextResponse) {
        server.shutdown(System.nanoTime() - DRAIN_DELAY.plus(DRAIN_TIMEOUT).toNanos());
        occupy(END_TIME);
      }
      return new DefaultHttpHeaders();
    }
  }
}
