package io.fireflyshed.standins.desk;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Takes orders and answers lookups, and counts what it ran. It does not recognise a repeated key.
 * Thread safe.
 */
public final class DeskStandIn implements AutoCloseable {

  private final Map<String, List<String>> ordersByKey = new ConcurrentHashMap<>();
  private final AtomicLong nextNumber = new AtomicLong(1);
  private DisposableServer server;

  /**
   * Starts to listen.
   *
   * @param listen the address; port 0 takes a free one, not null
   * @return the bound address, never null
   */
  public InetSocketAddress start(InetSocketAddress listen) {
    server =
        HttpServer.create()
            .bindAddress(() -> listen)
            .route(
                routes ->
                    routes
                        .post("/orders", this::takeOrder)
                        .get("/lookups/{key}", this::answerLookup))
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  /**
   * Gets how often an order with a key ran.
   *
   * @param key the key, not null
   * @return the count, 0 or more
   */
  public int getRuns(String key) {
    return ordersByKey.getOrDefault(key, List.of()).size();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> takeOrder(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("idempotency-key", "");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(body -> Mono.from(sendJson(response, 201, run(key, body))));
  }

  private ObjectNode run(String key, String body) {
    ordersByKey.computeIfAbsent(key, k -> new CopyOnWriteArrayList<>()).add(body);
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    answer.put("key", key);
    answer.put("number", nextNumber.getAndIncrement());
    answer.put("status", "placed");
    return answer;
  }

  private Publisher<Void> answerLookup(HttpServerRequest request, HttpServerResponse response) {
    String key = request.param("key");
    List<String> orders = ordersByKey.getOrDefault(key, List.of());
    ObjectNode answer = JsonUtils.getMapper().createObjectNode();
    answer.put("key", key);
    answer.put("orders", orders.size());
    return sendJson(response, orders.isEmpty() ? 404 : 200, answer);
  }

  private static Publisher<Void> sendJson(
      HttpServerResponse response, int status, ObjectNode node) {
    return response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)));
  }
}
