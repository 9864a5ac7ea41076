package io.fireflyshed.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.fireflyshed.transport.http.HttpCaller;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads and writes rows of the platform's table service over HTTP. Thread safe. */
public final class HttpTableService implements TableService {

  private final PlatformClient client;

  /**
   * Creates a client.
   *
   * @param caller sends HTTP requests, not null
   * @param address the address of the service, not null
   * @param timeout the longest wait for a response, not null
   */
  public HttpTableService(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    client = new PlatformClient(caller, address, timeout);
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return post("read-table", "/table/read", newKeyNode(key))
        .thenApply(
            response ->
                response.path("row").isObject()
                    ? Optional.of(decodeRow(key, response.get("row")))
                    : Optional.empty());
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix) {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    body.put("table", table);
    body.put("prefix", prefix);
    return post("scan-table", "/table/scan", body)
        .thenApply(response -> decodeRows(table, response.path("rows")));
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    ArrayNode conditions = body.putArray("conditions");
    for (Condition condition : transaction.conditions()) {
      conditions.add(newKeyNode(condition.key()).put("version", condition.version()));
    }
    ArrayNode writes = body.putArray("writes");
    for (Write write : transaction.writes()) {
      writes.add(newKeyNode(write.key()).put("value", write.value().orElse(null)));
    }
    return post("commit-table", "/table/commit", body).thenApply(HttpTableService::decodeResult);
  }

  private CompletableFuture<JsonNode> post(String step, String path, ObjectNode body) {
    return client.sendJson(step, HttpMethod.POST, path, JsonUtils.toText(body));
  }

  private static ObjectNode newKeyNode(RowKey key) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("table", key.table());
    node.put("key", key.key());
    return node;
  }

  private static Row decodeRow(RowKey key, JsonNode node) {
    return new Row(key, node.path("version").asLong(), node.path("value").asText());
  }

  private static List<Row> decodeRows(String table, JsonNode nodes) {
    List<Row> rows = new ArrayList<>();
    for (JsonNode node : nodes) {
      rows.add(decodeRow(new RowKey(table, node.path("key").asText()), node));
    }
    return rows;
  }

  private static CommitResult decodeResult(JsonNode node) {
    List<RowKey> conflicts = new ArrayList<>();
    for (JsonNode key : node.path("conflicts")) {
      conflicts.add(new RowKey(key.path("table").asText(), key.path("key").asText()));
    }
    return new CommitResult(node.path("committed").asBoolean(), conflicts);
  }
}
