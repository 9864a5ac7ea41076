package io.fireflyshed.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A stand-in of the users' metadata store: rows, transactions and a feed. Thread safe. */
public final class StoreStandIn implements AutoCloseable {

  private static final int OK = 200;
  private static final int CONFLICT = 412;
  private static final int GONE = 410;
  private static final int BUSY = 503;
  private static final Duration FEED_POLL = Duration.ofMillis(10);

  /** One row; a removed one keeps its version for the feed. */
  private record StoredRow(String table, String key, String value, long version) {}

  private final Map<String, StoredRow> rows = new TreeMap<>();
  private final DisposableServer server;
  private long version;
  private long droppedVersion;
  private volatile StoreFault fault = StoreFault.NONE;

  /** Starts a store on a free port. */
  public StoreStandIn() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                r ->
                    r.post("/api/rows-tx", this::answerTransaction)
                        .get("/api/rows-get", this::answerGet)
                        .get("/api/rows-feed", this::answerFeed))
            .bindNow();
  }

  /**
   * Gets the address.
   *
   * @return the address, never null
   */
  public InetSocketAddress getAddress() {
    return InetSocketAddress.createUnresolved("127.0.0.1", server.port());
  }

  /**
   * Plays a fault from now on.
   *
   * @param fault the fault, not null
   */
  public synchronized void setFault(StoreFault fault) {
    this.fault = fault;
    if (fault == StoreFault.HISTORY_DROPPED) {
      droppedVersion = version;
      this.fault = StoreFault.NONE;
    }
  }

  /**
   * Writes a row as the operator or a target does.
   *
   * @param table the table, not null
   * @param key the key, not null
   * @param text the value, or null to remove the row
   */
  public synchronized void put(String table, String key, String text) {
    String value =
        text == null
            ? null
            : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    version++;
    rows.put(table + "\n" + key, new StoredRow(table, key, value, version));
  }

  private Publisher<Void> answerTransaction(HttpServerRequest request, HttpServerResponse reply) {
    return request
        .receive()
        .aggregate()
        .asString()
        .flatMap(
            body -> {
              if (fault == StoreFault.BUSY) {
                return send(reply, BUSY, newAnswer());
              }
              ObjectNode answer = newAnswer();
              boolean isDone = fault != StoreFault.SILENT && apply(JsonUtils.parse(body));
              if (fault == StoreFault.ANSWER_LOST || fault == StoreFault.SILENT) {
                return Mono.never();
              }
              return send(reply, isDone ? OK : CONFLICT, answer);
            });
  }

  private synchronized boolean apply(JsonNode transaction) {
    for (JsonNode expected : transaction.path("expected")) {
      StoredRow row = rows.get(getKey(expected));
      long found = row == null || row.value() == null ? 0 : row.version();
      if (found != expected.path("ver").asLong()) {
        return false;
      }
    }
    version++;
    for (JsonNode put : transaction.path("puts")) {
      store(put, put.path("value").asText());
    }
    for (JsonNode removed : transaction.path("remove")) {
      store(removed, null);
    }
    return true;
  }

  private void store(JsonNode row, String value) {
    String table = row.path("table").asText();
    String key = row.path("key").asText();
    rows.put(getKey(row), new StoredRow(table, key, value, version));
  }

  private static String getKey(JsonNode row) {
    return row.path("table").asText() + "\n" + row.path("key").asText();
  }

  private Publisher<Void> answerGet(HttpServerRequest request, HttpServerResponse reply) {
    if (fault == StoreFault.BUSY) {
      return send(reply, BUSY, newAnswer());
    }
    if (fault == StoreFault.SILENT) {
      return Mono.never();
    }
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String from = getParameter(query, "from", "");
    String to = getParameter(query, "to", "\uffff");
    List<StoredRow> found = new ArrayList<>();
    ObjectNode answer;
    synchronized (this) {
      answer = newAnswer();
      for (StoredRow row : rows.values()) {
        boolean isInRange = row.key().compareTo(from) >= 0 && row.key().compareTo(to) < 0;
        if (row.table().equals(getParameter(query, "table", "")) && isInRange) {
          found.add(row);
        }
      }
    }
    found.removeIf(r -> r.value() == null);
    return send(reply, OK, addRows(answer, found));
  }

  private Publisher<Void> answerFeed(HttpServerRequest request, HttpServerResponse reply) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    long wait = Long.parseLong(getParameter(query, "wait_ms", "0"));
    return feed(reply, query, System.nanoTime() + Duration.ofMillis(wait).toNanos());
  }

  private Mono<Void> feed(HttpServerResponse reply, QueryStringDecoder query, long endNanos) {
    if (fault == StoreFault.BUSY) {
      return send(reply, BUSY, newAnswer());
    }
    if (fault == StoreFault.SILENT) {
      return Mono.never();
    }
    long after = Long.parseLong(getParameter(query, "after", "0"));
    List<StoredRow> changed = new ArrayList<>();
    ObjectNode answer;
    synchronized (this) {
      if (after < droppedVersion) {
        return send(reply, GONE, newAnswer());
      }
      answer = newAnswer();
      for (StoredRow row : rows.values()) {
        if (row.table().equals(getParameter(query, "table", "")) && row.version() > after) {
          changed.add(row);
        }
      }
    }
    if (changed.isEmpty() && System.nanoTime() - endNanos < 0) {
      return Mono.delay(FEED_POLL).then(Mono.defer(() -> feed(reply, query, endNanos)));
    }
    changed.sort(Comparator.comparingLong(StoredRow::version));
    return send(reply, OK, addRows(answer, changed));
  }

  private static String getParameter(QueryStringDecoder query, String name, String other) {
    return query.parameters().getOrDefault(name, List.of(other)).get(0);
  }

  private synchronized ObjectNode newAnswer() {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    answer.put("ver", version);
    return answer.put("now_ms", System.nanoTime() / 1_000_000);
  }

  private static ObjectNode addRows(ObjectNode answer, List<StoredRow> found) {
    ArrayNode list = answer.putArray("rows");
    for (StoredRow row : found) {
      ObjectNode node = list.addObject();
      node.put("table", row.table()).put("part", "").put("key", row.key());
      node.put("ver", row.version());
      if (row.value() == null) {
        node.put("removed", true);
      } else {
        node.put("value", row.value());
      }
    }
    return answer.put("has_more", false);
  }

  private static Mono<Void> send(HttpServerResponse reply, int status, ObjectNode body) {
    return reply
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(body)))
        .then();
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofMillis(200));
  }
}
