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
 * Serves a desk over HTTP: it runs orders, counts them by their idempotency key and answers lookups
 * of the counts. Thread safe.
 *
 * <p>It does not deduplicate orders, so that a repeated order shows in the count of its key.
 */
public final class DeskStandIn implements AutoCloseable {

  private final Map<String, List<String>> ordersByKey = new ConcurrentHashMap<>();
  private final AtomicLong nextOrderNumber = new AtomicLong(1);
  private DisposableServer server;

  /**
   * Starts the server.
   *
   * @param listen the address to listen on, with port 0 for any free port, not null
   * @return the bound address, never null
   */
  public InetSocketAddress start(InetSocketAddress listen) {
    server =
        HttpServer.create()
            .bindAddress(() -> listen)
            .route(
                routes ->
                    routes
                        .post("/orders", this::handleOrder)
                        .get("/lookups/{key}", this::handleLookup))
            .bindNow();
    return (InetSocketAddress) server.address();
  }

  /**
   * Gets the number of orders run with an idempotency key.
   *
   * @param key the idempotency key, not null
   * @return the count, 0 or more
   */
  public int getRunCount(String key) {
    return ordersByKey.getOrDefault(key, List.of()).size();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> handleOrder(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("idempotency-key", "");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(body -> Mono.from(sendJson(response, 201, runOrder(key, body))));
  }

  private ObjectNode runOrder(String key, String body) {
    ordersByKey.computeIfAbsent(key, absent -> new CopyOnWriteArrayList<>()).add(body);
    ObjectNode result = JsonUtils.getMapper().createObjectNode();
    result.put("key", key);
    result.put("number", nextOrderNumber.getAndIncrement());
    result.put("status", "placed");
    return result;
  }

  private Publisher<Void> handleLookup(HttpServerRequest request, HttpServerResponse response) {
    String key = request.param("key");
    List<String> orders = ordersByKey.getOrDefault(key, List.of());
    ObjectNode result = JsonUtils.getMapper().createObjectNode();
    result.put("key", key);
    result.put("orders", orders.size());
    return sendJson(response, orders.isEmpty() ? 404 : 200, result);
  }

  private static Publisher<Void> sendJson(
      HttpServerResponse response, int status, ObjectNode node) {
    return response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)));
  }
}
