package io.fireflyshed.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpResources;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Serves the protocol of one target of the users' platform over HTTP. The target is either an
 * engine, which obeys orders and serves streams while it is the head of an open replica, or a plain
 * service. Thread safe.
 *
 * <p>The query of a request can set how long it runs. For a stream, {@code events} is the number of
 * its events and {@code interval_ms} the time between them; each event then also names the attempt.
 * For a request to a plain service, {@code delay_ms} is the time until the response.
 */
public final class TargetStandIn implements AutoCloseable {

  /** The path at which a target of a plain service answers health checks. */
  public static final String HEALTH_PATH = "/healthz";

  /** More than the limits of any configuration and what entries add. */
  private static final int MAX_HEADER_BYTES = 64 << 10;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int MISDIRECTED = 421;
  private static final int ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int CONFLICT = 409;
  private static final int PRECONDITION_FAILED = 412;
  private static final int EVENTS_PER_STREAM = 5;
  private static final Duration EVENT_INTERVAL = Duration.ofMillis(5);

  private final StoreStandIn store;
  private final String id;
  private final String service;
  private final String zone;
  private final boolean isEngine;
  private long startMillis = System.currentTimeMillis();
  private final TargetCapacity capacity;
  private final SlotQueue slots;
  private final LoopResources loops;
  private final DisposableServer server;
  private final List<TargetArrival> arrivals = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Integer> statusByAttempt = new ConcurrentHashMap<>();
  private final AtomicInteger healthChecks = new AtomicInteger();
  private final List<String> executedAttempts = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Long> endNanosByAttempt = new ConcurrentHashMap<>();
  private volatile TargetFault fault = TargetFault.NONE;

  /** Tests whether a request crashes the target. */
  private volatile Predicate<HttpServerRequest> crashTrigger = request -> false;

  /** Tests whether a request to a plain service is run, but gets an error. */
  private volatile Predicate<HttpServerRequest> errorTrigger = request -> false;

  private long orderSequence;
  private long fencingToken;

  /** The replica of which the engine is a member, as reported, or null. */
  private ObjectNode replica;

  /**
   * Starts a target on a free port and registers it in the store.
   *
   * @param store the metadata store, not null
   * @param id the id of the target, not null
   * @param service the name of the service of the target, not null
   * @param zone the availability zone of the target, not null
   * @param isEngine true for an engine, false for a target of a plain service
   */
  public TargetStandIn(
      StoreStandIn store, String id, String service, String zone, boolean isEngine) {
    this(store, id, service, zone, isEngine, TargetCapacity.UNLIMITED);
  }

  /**
   * Starts a target whose requests and health checks need slots.
   *
   * @param store the metadata store, not null
   * @param id the id of the target, not null
   * @param service the name of the service of the target, not null
   * @param zone the availability zone of the target, not null
   * @param isEngine true for an engine, false for a target of a plain service
   * @param capacity how many requests the target runs at once and lets wait, not null
   */
  public TargetStandIn(
      StoreStandIn store,
      String id,
      String service,
      String zone,
      boolean isEngine,
      TargetCapacity capacity) {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.isEngine = isEngine;
    this.capacity = capacity;
    slots = new SlotQueue(capacity);
    loops =
        capacity.isUnlimited()
            ? HttpResources.get()
            : LoopResources.create("target-" + id, 1, 1, true);
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .runOn(loops)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .handle(this::handleRequest)
            .bindNow();
    register("ready");
  }

  /**
   * Injects a fault into all later requests.
   *
   * @param fault the fault, or {@link TargetFault#NONE} to end the current one, not null
   */
  public void setFault(TargetFault fault) {
    this.fault = fault;
  }

  /**
   * Makes requests crash the target when it begins to run them. The target loses its state and
   * starts again at the same address.
   *
   * @param trigger tests whether a request crashes the target, not null
   */
  public void setCrashTrigger(Predicate<HttpServerRequest> trigger) {
    this.crashTrigger = trigger;
  }

  /**
   * Makes requests to a plain service get an error after they have run.
   *
   * @param trigger tests whether a request gets an error, not null
   */
  public void setErrorTrigger(Predicate<HttpServerRequest> trigger) {
    this.errorTrigger = trigger;
  }

  /**
   * Suspends the target. Its connections are established meanwhile, and what is sent on them is
   * read when it goes on.
   *
   * @param time how long the target is suspended, not null
   * @throws IllegalStateException if the target shares its thread, as one without a capacity does
   */
  public void suspend(Duration time) {
    if (capacity.isUnlimited()) {
      throw new IllegalStateException(id + " shares its thread with other targets");
    }
    loops
        .onServer(LoopResources.DEFAULT_NATIVE)
        .next()
        .execute(
            () -> {
              try {
                Thread.sleep(time.toMillis());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  /**
   * Tests whether the target is the head of an open replica.
   *
   * @return true if the target serves streams, false under {@link TargetFault#SILENT}
   */
  public synchronized boolean isOpenHead() {
    return fault != TargetFault.SILENT
        && replica != null
        && replica.path("state").asText().equals("open");
  }

  /**
   * Gets the ids of the attempts that the target ran.
   *
   * @return a copy of the list in the order of arrival, never null
   */
  public List<String> getRuns() {
    return List.copyOf(executedAttempts);
  }

  /**
   * Gets the requests that arrived, including those that were rejected, without health checks.
   *
   * @return a copy of the list in the order of arrival, never null
   */
  public List<TargetArrival> getArrivals() {
    return List.copyOf(arrivals);
  }

  /**
   * Gets the status of the last response to an attempt that the target ran.
   *
   * @param attempt the id of the attempt, not null
   * @return the HTTP status, empty if the target did not run the attempt
   */
  public OptionalInt getStatus(String attempt) {
    Integer status = statusByAttempt.get(attempt);
    return status == null ? OptionalInt.empty() : OptionalInt.of(status);
  }

  /**
   * Gets the number of health checks that arrived.
   *
   * @return the number, 0 or more
   */
  public int getHealthCheckCount() {
    return healthChecks.get();
  }

  /**
   * Gets when the last run of an attempt ended, complete or broken off by its sender.
   *
   * @param attempt the id of the attempt, not null
   * @return the end in the time of {@link System#nanoTime}, empty before the first run has ended
   */
  public OptionalLong getRunEndNanos(String attempt) {
    Long nanos = endNanosByAttempt.get(attempt);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  /**
   * Writes the record of the target to the registry in the store.
   *
   * @param state the state of the target in the record, not null
   */
  public synchronized void register(String state) {
    ObjectNode registryRecord = JsonUtils.getMapper().createObjectNode();
    registryRecord
        .put("service", service)
        .put("address", "127.0.0.1:" + server.port())
        .put("zone", zone);
    registryRecord
        .put("version", "v1")
        .put("slots", capacity.slots())
        .put("state", state)
        .put("born", startMillis);
    if (replica != null) {
      registryRecord.set("group", replica);
    }
    store.put("servers", id, JsonUtils.toText(registryRecord));
  }

  private Publisher<Void> handleRequest(HttpServerRequest request, HttpServerResponse response) {
    if (fault == TargetFault.SILENT) {
      return Mono.never();
    }
    String expected = request.requestHeaders().get("X-Expect-Replica");
    if (expected != null && !expected.equals(id)) {
      return response.status(MISDIRECTED).header("X-Replica-Id", id).send();
    }
    if (request.uri().equals("/api/report")) {
      return response.sendString(Mono.fromSupplier(this::newReport));
    }
    if (request.uri().equals("/api/order")) {
      return request
          .receive()
          .aggregate()
          .asString()
          .flatMap(body -> Mono.from(response.status(handleOrder(JsonUtils.parse(body))).send()));
    }
    Mono<Void> rejection = Mono.defer(() -> reject(request, response));
    if (request.uri().equals(HEALTH_PATH)) {
      healthChecks.incrementAndGet();
      Mono<Void> healthy =
          Mono.defer(
              () -> Mono.from(response.header("X-Replica-Id", id).sendString(Mono.just(""))));
      return slots.run(healthy, rejection);
    }
    arrivals.add(TargetArrival.of(id, request, System.nanoTime()));
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(
            body ->
                slots.run(
                    Mono.defer(() -> Mono.from(serveRequest(request, response, body))), rejection));
  }

  private static Mono<Void> reject(HttpServerRequest request, HttpServerResponse response) {
    String attempt = request.requestHeaders().get("X-Attempt-Id");
    if (attempt != null) {
      response.header("X-Attempt-Id", attempt);
    }
    return Mono.from(response.status(UNAVAILABLE).header("X-Not-Executed", "1").send());
  }

  private synchronized void restart() {
    startMillis = Math.max(startMillis + 1, System.currentTimeMillis());
    orderSequence = 0;
    fencingToken = 0;
    replica = null;
    register("ready");
  }

  private synchronized String newReport() {
    ObjectNode report = JsonUtils.getMapper().createObjectNode();
    report.put("born", startMillis).put("sequence", orderSequence).put("busy", false);
    report.put("num_running", 0).put("num_waiting", 0).put("kv_used", 0).put("pace", 1.0);
    report.put("domain", "d0").putArray("staged");
    if (replica != null) {
      report.set("group", replica);
    }
    return JsonUtils.toText(report);
  }

  private synchronized int handleOrder(JsonNode order) {
    if (order.path("fencing_token").asLong() < fencingToken) {
      return PRECONDITION_FAILED;
    }
    fencingToken = order.path("fencing_token").asLong();
    if (order.path("expected").asLong() != orderSequence) {
      return CONFLICT;
    }
    int status = applyOrder(order);
    if (status == ACCEPTED) {
      orderSequence++;
      register("ready");
    }
    return status;
  }

  private int applyOrder(JsonNode order) {
    switch (order.path("op").asText()) {
      case "join" -> {
        int rank = 0;
        for (JsonNode member : order.path("members")) {
          if (member.asText().equals(id)) {
            break;
          }
          rank++;
        }
        replica = JsonUtils.getMapper().createObjectNode();
        replica
            .put("name", order.path("group").asText())
            .put("epoch", order.path("epoch").asLong());
        replica.put("rank", rank).put("state", "ready");
      }
      case "open" -> {
        if (replica == null || !replica.path("name").equals(order.path("group"))) {
          return CONFLICT;
        }
        replica.put("state", "open");
      }
      case "close" -> replica.put("state", "ready");
      case "leave" -> replica = null;
      default -> {
        return OK;
      }
    }
    return ACCEPTED;
  }

  private Publisher<Void> serveRequest(
      HttpServerRequest request, HttpServerResponse response, String body) {
    if (fault == TargetFault.FULL || isEngine && !isOpenHead()) {
      return response.status(UNAVAILABLE).header("X-Not-Executed", "1").send();
    }
    String attempt = request.requestHeaders().get("X-Attempt-Id");
    executedAttempts.add(attempt);
    return Mono.from(runRequest(request, response, body, attempt))
        .doFinally(signal -> endNanosByAttempt.put(attempt, System.nanoTime()));
  }

  private Publisher<Void> runRequest(
      HttpServerRequest request, HttpServerResponse response, String body, String attempt) {
    if (crashTrigger.test(request)) {
      restart();
      return response.withConnection(connection -> connection.channel().close()).neverComplete();
    }
    String attemptInResponse = fault == TargetFault.OTHER_ANSWER ? "another" : attempt;
    response.header("X-Attempt-Id", attemptInResponse).header("X-Replica-Signature", "s." + id);
    response.header("X-Replica-Load", slots.toLoad());
    if (fault == TargetFault.ANSWER_LOST) {
      return Mono.never();
    }
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    if (!isEngine) {
      int status = fault == TargetFault.ERROR || errorTrigger.test(request) ? ERROR : OK;
      statusByAttempt.put(attempt, status);
      Mono<String> text = Mono.just(request.uri() + "|" + body);
      int delayMillis = getQueryNumber(query, "delay_ms", 0);
      return response
          .status(status)
          .sendString(delayMillis == 0 ? text : text.delayElement(Duration.ofMillis(delayMillis)));
    }
    int lastEventId = Integer.parseInt(request.requestHeaders().get("Last-Event-Id", "0"));
    int eventCount = getQueryNumber(query, "events", EVENTS_PER_STREAM);
    int intervalMillis = getQueryNumber(query, "interval_ms", (int) EVENT_INTERVAL.toMillis());
    String suffix = query.parameters().containsKey("events") ? " of " + attempt : "";
    Flux<String> events =
        Flux.range(lastEventId + 1, Math.max(0, eventCount - lastEventId))
            .delayElements(Duration.ofMillis(intervalMillis))
            .map(number -> "id: " + number + "\ndata: token " + number + suffix + "\n\n");
    if (fault == TargetFault.BREAKS_OFF) {
      events =
          events
              .take(2)
              .concatWith(Flux.just("id: 3\nda"))
              .concatWith(
                  Flux.error(
                      new IllegalStateException(
                          "injected fault: the stream ends within an event")));
    } else if (fault == TargetFault.STANDS_STILL) {
      events = events.take(2).concatWith(Flux.never());
    }
    response.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    return response.send(
        events.map(event -> Unpooled.copiedBuffer(event, StandardCharsets.UTF_8)), buffer -> true);
  }

  private static int getQueryNumber(QueryStringDecoder query, String name, int defaultValue) {
    List<String> values = query.parameters().get(name);
    return values == null ? defaultValue : Integer.parseInt(values.get(0));
  }

  /**
   * Gets the id of the target.
   *
   * @return the id, never null
   */
  public String getId() {
    return id;
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofMillis(200));
    loops.dispose();
  }
}
