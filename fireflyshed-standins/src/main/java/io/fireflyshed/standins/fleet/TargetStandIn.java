package io.fireflyshed.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in of one target of the users' platform: an engine that takes orders and serves streams
 * as the head of a replica, or a plain service. Thread safe.
 */
public final class TargetStandIn implements AutoCloseable {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;
  private static final int CONFLICT = 409;
  private static final int FENCED = 412;
  private static final int EVENTS = 5;
  private static final Duration EVENT_PAUSE = Duration.ofMillis(5);

  private final StoreStandIn store;
  private final String id;
  private final String service;
  private final String zone;
  private final boolean isEngine;
  private final long born = System.currentTimeMillis();
  private final DisposableServer server;
  private final List<String> runs = Collections.synchronizedList(new ArrayList<>());
  private volatile TargetFault fault = TargetFault.NONE;
  private long sequence;
  private long fence;
  private ObjectNode group;

  /**
   * Starts a target and registers it.
   *
   * @param store the store, not null
   * @param id the id, not null
   * @param service the service, not null
   * @param zone the availability zone, not null
   * @param isEngine whether it is an engine rather than a plain service
   */
  public TargetStandIn(
      StoreStandIn store, String id, String service, String zone, boolean isEngine) {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.isEngine = isEngine;
    server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
    register("ready");
  }

  /**
   * Plays a fault from now on.
   *
   * @param fault the fault, not null
   */
  public void setFault(TargetFault fault) {
    this.fault = fault;
  }

  /**
   * Tests whether the target is the head of a replica that serves.
   *
   * @return true if it takes requests
   */
  public synchronized boolean isOpenHead() {
    return fault != TargetFault.SILENT
        && group != null
        && group.path("state").asText().equals("open");
  }

  /**
   * Lists the ids of the requests that the target ran.
   *
   * @return a copy, never null
   */
  public List<String> getRuns() {
    return List.copyOf(runs);
  }

  /**
   * Writes the target's entry.
   *
   * @param state the state that it tells, not null
   */
  public synchronized void register(String state) {
    ObjectNode entry = JsonUtils.getMapper().createObjectNode();
    entry.put("service", service).put("address", "127.0.0.1:" + server.port()).put("zone", zone);
    entry.put("version", "v1").put("slots", 18).put("state", state).put("born", born);
    if (group != null) {
      entry.set("group", group);
    }
    store.put("servers", id, JsonUtils.toText(entry));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
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
          .flatMap(body -> Mono.from(response.status(take(JsonUtils.parse(body))).send()));
    }
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(body -> Mono.from(serve(request, response, body)));
  }

  private synchronized String newReport() {
    ObjectNode report = JsonUtils.getMapper().createObjectNode();
    report.put("born", born).put("sequence", sequence).put("busy", false);
    report.put("num_running", 0).put("num_waiting", 0).put("kv_used", 0).put("pace", 1.0);
    report.put("domain", "d0").putArray("staged");
    if (group != null) {
      report.set("group", group);
    }
    return JsonUtils.toText(report);
  }

  private synchronized int take(JsonNode order) {
    if (order.path("fencing_token").asLong() < fence) {
      return FENCED;
    }
    fence = order.path("fencing_token").asLong();
    if (order.path("expected").asLong() != sequence) {
      return CONFLICT;
    }
    int status = apply(order);
    if (status == ACCEPTED) {
      sequence++;
      register("ready");
    }
    return status;
  }

  private int apply(JsonNode order) {
    switch (order.path("op").asText()) {
      case "join" -> {
        int rank = 0;
        for (JsonNode member : order.path("members")) {
          if (member.asText().equals(id)) {
            break;
          }
          rank++;
        }
        group = JsonUtils.getMapper().createObjectNode();
        group.put("name", order.path("group").asText()).put("epoch", order.path("epoch").asLong());
        group.put("rank", rank).put("state", "ready");
      }
      case "open" -> {
        if (group == null || !group.path("name").equals(order.path("group"))) {
          return CONFLICT;
        }
        group.put("state", "open");
      }
      case "close" -> group.put("state", "ready");
      case "leave" -> group = null;
      default -> {
        return OK;
      }
    }
    return ACCEPTED;
  }

  private Publisher<Void> serve(
      HttpServerRequest request, HttpServerResponse response, String body) {
    if (fault == TargetFault.FULL || isEngine && !isOpenHead()) {
      return response.status(UNAVAILABLE).header("X-Not-Executed", "1").send();
    }
    String attempt = request.requestHeaders().get("X-Attempt-Id");
    runs.add(attempt);
    String echoed = fault == TargetFault.OTHER_ANSWER ? "another" : attempt;
    response.header("X-Attempt-Id", echoed).header("X-Replica-Signature", "s." + id);
    response.header("X-Replica-Load", "1,0,18");
    if (fault == TargetFault.ANSWER_LOST) {
      return Mono.never();
    }
    if (!isEngine) {
      int status = fault == TargetFault.ERROR ? 500 : OK;
      return response.status(status).sendString(Mono.just(request.uri() + "|" + body));
    }
    long last = Long.parseLong(request.requestHeaders().get("Last-Event-Id", "0"));
    Flux<String> events =
        Flux.range((int) last + 1, Math.max(0, EVENTS - (int) last))
            .delayElements(EVENT_PAUSE)
            .map(i -> "id: " + i + "\ndata: token " + i + "\n\n");
    if (fault == TargetFault.BREAKS_OFF) {
      events =
          events
              .take(2)
              .concatWith(Flux.just("id: 3\nda"))
              .concatWith(Flux.error(new IllegalStateException("broken off")));
    } else if (fault == TargetFault.STANDS_STILL) {
      events = events.take(2).concatWith(Flux.never());
    }
    response.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    return response.send(
        events.map(e -> Unpooled.copiedBuffer(e, StandardCharsets.UTF_8)), piece -> true);
  }

  /**
   * Gets the id.
   *
   * @return the id, never null
   */
  public String getId() {
    return id;
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofMillis(200));
  }
}
