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

/** Serves the table service, the object store and the instance list over HTTP. Thread safe. */
public final class PlatformStandIn implements AutoCloseable {

  private static final Duration SLOW_DELAY = Duration.ofSeconds(1);

  private final InMemoryTableService table = new InMemoryTableService();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Map<InstanceId, InstanceRecord> instances = new ConcurrentSkipListMap<>();
  private volatile StoreFault fault = StoreFault.NONE;
  private DisposableServer server;

  /**
   * Starts to listen.
   *
   * @param listen the address; port 0 takes a free one, not null
   * @return the bound address, never null
   */
  public InetSocketAddress start(InetSocketAddress listen) {
    server = HttpServer.create().bindAddress(() -> listen).route(this::addRoutes).bindNow();
    return (InetSocketAddress) server.address();
  }

  /**
   * Adds or replaces a listed instance.
   *
   * @param instance the instance, not null
   */
  public void putInstance(InstanceRecord instance) {
    instances.put(instance.id(), instance);
  }

  /**
   * Removes a listed instance.
   *
   * @param instance the instance, not null
   */
  public void removeInstance(InstanceId instance) {
    instances.remove(instance);
  }

  /**
   * Sets the fault of the stores to act out from now on.
   *
   * @param fault the fault, not null
   */
  public void setFault(StoreFault fault) {
    this.fault = fault;
    table.setFault(fault);
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes.post("/table/read", (q, r) -> answer(q, r, this::readRow));
    routes.post("/table/scan", (q, r) -> answer(q, r, this::scanRows));
    routes.post("/table/commit", (q, r) -> answer(q, r, this::commit));
    routes.get("/objects/{name}", this::getObject);
    routes.put("/objects/{name}", this::putObject);
    routes.get("/instances", (q, r) -> sendJson(r, listInstances()));
    routes.post("/faults/{name}", this::changeFault);
  }

  private Publisher<Void> changeFault(HttpServerRequest request, HttpServerResponse response) {
    try {
      String name = String.valueOf(request.param("name"));
      setFault(StoreFault.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
      return response.status(204).send();
    } catch (IllegalArgumentException e) {
      return response.status(404).send();
    }
  }

  private Publisher<Void> answer(
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
        .onErrorResume(e -> response.status(toStatus(e)).send());
  }

  private static int toStatus(Throwable error) {
    if (error instanceof EffectUnknownException) {
      return 500;
    }
    return error instanceof IllegalArgumentException ? 400 : 503;
  }

  private CompletableFuture<JsonNode> readRow(JsonNode body) {
    return table.read(toKey(body)).thenApply(PlatformStandIn::toRowAnswer);
  }

  private static JsonNode toRowAnswer(Optional<Row> row) {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    row.ifPresent(r -> answer.set("row", toNode(r)));
    return answer;
  }

  private CompletableFuture<JsonNode> scanRows(JsonNode body) {
    return table
        .scan(body.path("table").asText(), body.path("prefix").asText())
        .thenApply(
            rows -> {
              ObjectNode answer = JsonUtils.getMapper().createObjectNode();
              ArrayNode nodes = answer.putArray("rows");
              rows.forEach(r -> nodes.add(toNode(r)));
              return answer;
            });
  }

  private CompletableFuture<JsonNode> commit(JsonNode body) {
    List<Condition> conditions = new ArrayList<>();
    body.path("conditions")
        .forEach(c -> conditions.add(new Condition(toKey(c), c.path("version").asLong())));
    List<Write> writes = new ArrayList<>();
    for (JsonNode write : body.path("writes")) {
      Optional<String> value =
          write.hasNonNull("value") ? Optional.of(write.get("value").asText()) : Optional.empty();
      writes.add(new Write(toKey(write), value));
    }
    return table
        .commit(new Transaction(conditions, writes))
        .thenApply(PlatformStandIn::toCommitAnswer);
  }

  private static JsonNode toCommitAnswer(CommitResult result) {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    answer.put("committed", result.isCommitted());
    ArrayNode conflicts = answer.putArray("conflicts");
    result
        .conflicts()
        .forEach(k -> conflicts.addObject().put("table", k.table()).put("key", k.key()));
    return answer;
  }

  private static RowKey toKey(JsonNode node) {
    return new RowKey(node.path("table").asText(), node.path("key").asText());
  }

  private static ObjectNode toNode(Row row) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("key", row.key().key());
    node.put("version", row.version());
    node.put("value", row.value());
    return node;
  }

  private Publisher<Void> getObject(HttpServerRequest request, HttpServerResponse response) {
    String text = objects.get(request.param("name"));
    if (fault == StoreFault.DOWN) {
      return response.status(503).send();
    }
    return text == null ? response.sendNotFound() : response.sendString(Mono.just(text));
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
        .doOnNext(text -> objects.put(name, text))
        .then(response.status(204).send());
  }

  private JsonNode listInstances() {
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    ArrayNode nodes = answer.putArray("instances");
    instances.values().forEach(i -> nodes.add(InstanceCodec.toJson(i)));
    return answer;
  }

  private static Publisher<Void> sendJson(HttpServerResponse response, JsonNode node) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)));
  }
}
