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

/**
 * Serves the protocol of the users' metadata store over HTTP, from memory: rows, transactions and a
 * feed of changes. Thread safe.
 */
public final class StoreStandIn implements AutoCloseable {

  private static final int OK = 200;
  private static final int PRECONDITION_FAILED = 412;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  /** The number of rows that the platform's store returns at most. */
  private static final int MAX_ROWS_PER_RESPONSE = 500;

  private static final Duration FEED_POLL_INTERVAL = Duration.ofMillis(10);

  /** A row. A removed row has a null value and is kept for the feed. */
  private record StoredRow(String table, String key, String value, long version) {}

  private final Map<String, StoredRow> rows = new TreeMap<>();
  private final DisposableServer server;
  private long version;
  private long feedStartVersion;
  private volatile long restoreCount;
  private volatile StoreFault fault = StoreFault.NONE;

  /** Starts an empty store on a free port of the loopback interface. */
  public StoreStandIn() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .post("/api/rows-tx", this::handleTransaction)
                        .get("/api/rows-get", this::handleGet)
                        .get("/api/rows-feed", this::handleFeed))
            .bindNow();
  }

  /**
   * Gets the address on which the store listens.
   *
   * @return the address, unresolved, never null
   */
  public InetSocketAddress getAddress() {
    return InetSocketAddress.createUnresolved("127.0.0.1", server.port());
  }

  /**
   * Injects a fault into all later requests. {@link StoreFault#HISTORY_DROPPED} and {@link
   * StoreFault#RESTORED} take effect at once and end any other fault.
   *
   * @param fault the fault, or {@link StoreFault#NONE} to end the current one, not null
   */
  public synchronized void setFault(StoreFault fault) {
    this.fault = fault;
    if (fault == StoreFault.HISTORY_DROPPED) {
      feedStartVersion = version;
      this.fault = StoreFault.NONE;
    } else if (fault == StoreFault.RESTORED) {
      restoreCount++;
      feedStartVersion = version;
      this.fault = StoreFault.NONE;
    }
  }

  /**
   * Writes or removes a row without conditions, in place of the operator or a target.
   *
   * @param table the table, not null
   * @param key the key, not null
   * @param text the value of the row, which is stored in Base64, or null to remove the row
   */
  public synchronized void put(String table, String key, String text) {
    String value =
        text == null
            ? null
            : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    version++;
    rows.put(table + "\n" + key, new StoredRow(table, key, value, version));
  }

  private Publisher<Void> handleTransaction(
      HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asString()
        .flatMap(
            text -> {
              if (fault == StoreFault.BUSY) {
                return sendJson(response, UNAVAILABLE, newResponseBody());
              }
              ObjectNode body = newResponseBody();
              boolean isApplied = fault != StoreFault.SILENT && apply(JsonUtils.parse(text));
              if (fault == StoreFault.ANSWER_LOST || fault == StoreFault.SILENT) {
                return Mono.never();
              }
              return sendJson(response, isApplied ? OK : PRECONDITION_FAILED, body);
            });
  }

  private synchronized boolean apply(JsonNode transaction) {
    for (JsonNode expected : transaction.path("expected")) {
      StoredRow row = rows.get(toRowKey(expected));
      long foundVersion = row == null || row.value() == null ? 0 : row.version();
      if (foundVersion != expected.path("ver").asLong()) {
        return false;
      }
    }
    version++;
    for (JsonNode put : transaction.path("puts")) {
      putRow(put, put.path("value").asText());
    }
    for (JsonNode removed : transaction.path("remove")) {
      putRow(removed, null);
    }
    return true;
  }

  private void putRow(JsonNode row, String value) {
    String table = row.path("table").asText();
    String key = row.path("key").asText();
    rows.put(toRowKey(row), new StoredRow(table, key, value, version));
  }

  private static String toRowKey(JsonNode row) {
    return row.path("table").asText() + "\n" + row.path("key").asText();
  }

  private Publisher<Void> handleGet(HttpServerRequest request, HttpServerResponse response) {
    if (fault == StoreFault.BUSY) {
      return sendJson(response, UNAVAILABLE, newResponseBody());
    }
    if (fault == StoreFault.SILENT) {
      return Mono.never();
    }
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String from = getQueryParameter(query, "from", "");
    String to = getQueryParameter(query, "to", "\uffff");
    List<StoredRow> found = new ArrayList<>();
    ObjectNode body;
    synchronized (this) {
      body = newResponseBody();
      for (StoredRow row : rows.values()) {
        boolean isInRange = row.key().compareTo(from) >= 0 && row.key().compareTo(to) < 0;
        if (row.table().equals(getQueryParameter(query, "table", "")) && isInRange) {
          found.add(row);
        }
      }
    }
    found.removeIf(row -> row.value() == null);
    boolean hasMore = found.size() > MAX_ROWS_PER_RESPONSE;
    List<StoredRow> page = hasMore ? found.subList(0, MAX_ROWS_PER_RESPONSE) : found;
    return sendJson(response, OK, addRows(body, page).put("has_more", hasMore));
  }

  private Publisher<Void> handleFeed(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    long waitMillis = Long.parseLong(getQueryParameter(query, "wait_ms", "0"));
    return sendChanges(
        response, query, System.nanoTime() + Duration.ofMillis(waitMillis).toNanos());
  }

  private Mono<Void> sendChanges(
      HttpServerResponse response, QueryStringDecoder query, long deadlineNanos) {
    if (fault == StoreFault.BUSY) {
      return sendJson(response, UNAVAILABLE, newResponseBody());
    }
    if (fault == StoreFault.SILENT) {
      return Mono.never();
    }
    long after = Long.parseLong(getQueryParameter(query, "after", "0"));
    List<StoredRow> changed = new ArrayList<>();
    ObjectNode body;
    synchronized (this) {
      if (after < feedStartVersion || after > version) {
        return sendJson(response, GONE, newResponseBody());
      }
      body = newResponseBody();
      for (StoredRow row : rows.values()) {
        if (row.table().equals(getQueryParameter(query, "table", "")) && row.version() > after) {
          changed.add(row);
        }
      }
    }
    if (changed.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
      return Mono.delay(FEED_POLL_INTERVAL)
          .then(Mono.defer(() -> sendChanges(response, query, deadlineNanos)));
    }
    changed.sort(Comparator.comparingLong(StoredRow::version));
    return sendJson(response, OK, addRows(body, changed));
  }

  private static String getQueryParameter(
      QueryStringDecoder query, String name, String defaultValue) {
    return query.parameters().getOrDefault(name, List.of(defaultValue)).get(0);
  }

  private synchronized ObjectNode newResponseBody() {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    body.put("ver", version);
    return body.put("now_ms", System.nanoTime() / 1_000_000);
  }

  private static ObjectNode addRows(ObjectNode body, List<StoredRow> found) {
    ArrayNode rowNodes = body.putArray("rows");
    for (StoredRow row : found) {
      ObjectNode node = rowNodes.addObject();
      node.put("table", row.table()).put("part", "").put("key", row.key());
      node.put("ver", row.version());
      if (row.value() == null) {
        node.put("removed", true);
      } else {
        node.put("value", row.value());
      }
    }
    return body.put("has_more", false);
  }

  private Mono<Void> sendJson(HttpServerResponse response, int status, ObjectNode body) {
    return response
        .status(status)
        .header("Store-Era", String.valueOf(restoreCount))
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(body)))
        .then();
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofMillis(200));
  }
}
