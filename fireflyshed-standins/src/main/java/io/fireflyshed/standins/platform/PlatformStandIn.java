package io.fireflyshed.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.protocol.platform.InstanceCodec;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves a table service, an object store and a list of instances over HTTP, from memory. Thread
 * safe.
 *
 * <p>{@code POST /faults/{name}} injects the {@link StoreFault} of that name, in lower case with
 * hyphens.
 */
public final class PlatformStandIn implements AutoCloseable {

  private static final Duration SLOW_DELAY = Duration.ofSeconds(1);

  private final InMemoryTableService tableService = new InMemoryTableService();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Map<InstanceId, InstanceRecord> instances = new ConcurrentSkipListMap<>();
  private volatile StoreFault fault = StoreFault.NONE;
  private DisposableServer server;

  /**
   * Starts the server.
   *
   * @param listen the address to listen on, with port 0 for any free port, not null
   * @return the bound address, never null
   */
  public InetSocketAddress start(InetSocketAddress listen) {
    server = HttpServer.create().bindAddress(() -> listen).route(this::addRoutes).bindNow();
    return (InetSocketAddress) server.address();
  }

  /**
   * Adds an instance to the list or replaces the one with the same id.
   *
   * @param instance the instance, not null
   */
  public void putInstance(InstanceRecord instance) {
    instances.put(instance.id(), instance);
  }

  /**
   * Removes an instance from the list.
   *
   * @param id the id of the instance, not null
   */
  public void removeInstance(InstanceId id) {
    instances.remove(id);
  }

  /**
   * Injects a fault into all later requests to the table service and the object store.
   *
   * @param fault the fault, or {@link StoreFault#NONE} to end the current one, not null
   */
  public void setFault(StoreFault fault) {
    this.fault = fault;
    tableService.setFault(fault);
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes.post(
        "/table/read",
        (request, response) -> handleTableRequest(request, response, this::handleRead));
    routes.post(
        "/table/scan",
        (request, response) -> handleTableRequest(request, response, this::handleScan));
    routes.post(
        "/table/commit",
        (request, response) -> handleTableRequest(request, response, this::handleCommit));
    routes.get("/objects/{name}", this::getObject);
    routes.put("/objects/{name}", this::putObject);
    routes.get("/instances", (request, response) -> sendJson(response, newInstanceList()));
    routes.post("/faults/{name}", this::handleFault);
  }

  private Publisher<Void> handleFault(HttpServerRequest request, HttpServerResponse response) {
    try {
      String name = String.valueOf(request.param("name"));
      setFault(StoreFault.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
      return response.status(204).send();
    } catch (IllegalArgumentException e) {
      return response.status(404).send();
    }
  }

  private Publisher<Void> handleTableRequest(
      HttpServerRequest request,
      HttpServerResponse response,
      Function<JsonNode, CompletableFuture<JsonNode>> operation) {
    return request
        .receive()
        .aggregate()
        .asString()
        .flatMap(body -> Mono.fromFuture(operation.apply(JsonUtils.parse(body))))
        .delayElement(fault == StoreFault.SLOW ? SLOW_DELAY : Duration.ZERO)
        .flatMap(node -> Mono.from(sendJson(response, node)))
        .onErrorResume(e -> response.status(toHttpStatus(e)).send());
  }

  private static int toHttpStatus(Throwable error) {
    if (error instanceof EffectUnknownException) {
      return 500;
    }
    return error instanceof IllegalArgumentException ? 400 : 503;
  }

  private CompletableFuture<JsonNode> handleRead(JsonNode request) {
    return tableService.read(toRowKey(request)).thenApply(PlatformStandIn::toRowResponse);
  }

  private static JsonNode toRowResponse(Optional<Row> row) {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    row.ifPresent(found -> body.set("row", toJson(found)));
    return body;
  }

  private CompletableFuture<JsonNode> handleScan(JsonNode request) {
    return tableService
        .scan(request.path("table").asText(), request.path("prefix").asText())
        .thenApply(
            rows -> {
              ObjectNode body = JsonUtils.getMapper().createObjectNode();
              ArrayNode rowNodes = body.putArray("rows");
              rows.forEach(row -> rowNodes.add(toJson(row)));
              return body;
            });
  }

  private CompletableFuture<JsonNode> handleCommit(JsonNode request) {
    List<Condition> conditions = new ArrayList<>();
    request
        .path("conditions")
        .forEach(
            node -> conditions.add(new Condition(toRowKey(node), node.path("version").asLong())));
    List<Write> writes = new ArrayList<>();
    for (JsonNode write : request.path("writes")) {
      Optional<String> value =
          write.hasNonNull("value") ? Optional.of(write.get("value").asText()) : Optional.empty();
      writes.add(new Write(toRowKey(write), value));
    }
    return tableService
        .commit(new Transaction(conditions, writes))
        .thenApply(PlatformStandIn::toCommitResponse);
  }

  private static JsonNode toCommitResponse(CommitResult result) {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    body.put("committed", result.isCommitted());
    ArrayNode conflicts = body.putArray("conflicts");
    result
        .conflicts()
        .forEach(key -> conflicts.addObject().put("table", key.table()).put("key", key.key()));
    return body;
  }

  private static RowKey toRowKey(JsonNode node) {
    return new RowKey(node.path("table").asText(), node.path("key").asText());
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("key", row.key().key());
    node.put("version", row.version());
    node.put("value", row.value());
    return node;
  }

  private Publisher<Void> getObject(HttpServerRequest request, HttpServerResponse response) {
    String content = objects.get(request.param("name"));
    if (fault == StoreFault.DOWN) {
      return response.status(503).send();
    }
    return content == null ? response.sendNotFound() : response.sendString(Mono.just(content));
  }

  private Publisher<Void> putObject(HttpServerRequest request, HttpServerResponse response) {
    if (fault == StoreFault.DOWN) {
      return response.status(503).send();
    }
    String name = request.param("name");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .doOnNext(content -> objects.put(name, content))
        .then(response.status(204).send());
  }

  private JsonNode newInstanceList() {
    ObjectNode body = JsonUtils.getMapper().createObjectNode();
    ArrayNode instanceNodes = body.putArray("instances");
    instances.values().forEach(instance -> instanceNodes.add(InstanceCodec.toJson(instance)));
    return body;
  }

  private static Publisher<Void> sendJson(HttpServerResponse response, JsonNode node) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)));
  }
}
