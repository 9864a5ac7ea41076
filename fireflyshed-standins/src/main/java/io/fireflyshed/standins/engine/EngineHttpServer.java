package io.fireflyshed.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.completion.SseEvent;
import io.fireflyshed.protocol.engine.EngineHeaders;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.transport.trace.RequestTracer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BiFunction;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves one engine stand-in over HTTP.
 *
 * <p>{@code POST /faults/{name}} injects the {@link EngineFault} of that name, in lower case. The
 * name {@code leave} marks the instance as leaving, and {@code restart} restarts the engine.
 */
final class EngineHttpServer {

  private static final String NOT_RUN = "not-run";

  private final EngineStandIn engine;
  private final EngineFleet fleet;
  private final RequestTracer tracer;
  private DisposableServer server;

  EngineHttpServer(EngineStandIn engine, EngineFleet fleet, RequestTracer tracer) {
    this.engine = engine;
    this.fleet = fleet;
    this.tracer = tracer;
  }

  InetSocketAddress start(InetSocketAddress listen) {
    server = HttpServer.create().bindAddress(() -> listen).route(this::addRoutes).bindNow();
    return (InetSocketAddress) server.address();
  }

  void close() {
    server.disposeNow();
  }

  private void addRoutes(HttpServerRoutes routes) {
    for (CompletionKind kind : CompletionKind.values()) {
      routes.post(
          kind.getPath(),
          withFault((request, response) -> handleWithSpan(kind, request, response)));
    }
    routes.get(
        "/control/health",
        withFault((request, response) -> sendJson(response, engine.getHealth())));
    routes.get(
        "/control/load", withFault((request, response) -> sendJson(response, engine.getLoad())));
    routes.get(
        "/control/cache-events/{after}",
        withFault(
            (request, response) ->
                sendJson(response, engine.getCacheEvents(Long.parseLong(request.param("after"))))));
    routes.post("/control/orders", withFault(this::handleOrder));
    routes.post(
        "/control/cancel/{attempt}",
        withFault(
            (request, response) -> {
              engine.cancel(request.param("attempt"));
              return response.status(204).send();
            }));
    routes.post("/faults/{name}", this::handleFault);
  }

  /**
   * Wraps a handler so that a dead engine closes the connection and a paused engine never responds.
   */
  private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> withFault(
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    return (request, response) ->
        switch (engine.getFault()) {
          case DEAD -> {
            response.withConnection(connection -> connection.dispose());
            yield Mono.never();
          }
          case PAUSED -> Mono.never();
          case NONE -> handler.apply(request, response);
        };
  }

  private Publisher<Void> handleFault(HttpServerRequest request, HttpServerResponse response) {
    String name = String.valueOf(request.param("name"));
    switch (name) {
      case "leave" -> engine.leave();
      case "restart" -> engine.restart();
      default -> {
        try {
          engine.setFault(EngineFault.valueOf(name.toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
          return response.status(404).send();
        }
      }
    }
    return response.status(204).send();
  }

  private Publisher<Void> handleOrder(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asString()
        .flatMap(
            body -> {
              boolean isAccepted = engine.applyOrder(JsonUtils.parse(body));
              return isAccepted ? response.status(202).send().then() : refuse(response, 409);
            });
  }

  private Publisher<Void> handleWithSpan(
      CompletionKind kind, HttpServerRequest request, HttpServerResponse response) {
    Context parent = tracer.extract(request.requestHeaders());
    return Mono.using(
        () -> tracer.start("target", SpanKind.SERVER, parent),
        span -> Mono.from(handleCompletion(kind, request, response)),
        Span::end);
  }

  private Publisher<Void> handleCompletion(
      CompletionKind kind, HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders();
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(
            body -> {
              CompletionRequest completion = CompletionRequest.parse(kind, body);
              return fleet.isReplicaComplete(engine) && !engine.getMembers().isEmpty()
                  ? startStream(completion, headers, response)
                  : refuse(response, 503);
            });
  }

  private Mono<Void> startStream(
      CompletionRequest completion, HttpHeaders headers, HttpServerResponse response) {
    String attempt = headers.get(EngineHeaders.ATTEMPT, "");
    String replica = headers.get(EngineHeaders.REPLICA, "");
    long generation = Long.parseLong(headers.get(EngineHeaders.GENERATION, "0"));
    long offset = Long.parseLong(headers.get(EngineHeaders.OFFSET, "0"));
    if (!engine.isRunning(replica, generation)) {
      return refuse(response, 409);
    }
    Flux<String> frames =
        Flux.create(
            sink -> {
              sink.onCancel(() -> engine.cancel(attempt));
              String requestId = headers.get(EngineHeaders.REQUEST, attempt);
              EngineRun run = new EngineRun(attempt, requestId, completion, offset, sink);
              if (!engine.submit(run, replica, generation)) {
                run.abort();
              }
            });
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, SseEvent.MEDIA_TYPE)
        .send(
            frames.map(frame -> Unpooled.wrappedBuffer(frame.getBytes(StandardCharsets.UTF_8))),
            buffer -> true)
        .then();
  }

  private static Mono<Void> refuse(HttpServerResponse response, int status) {
    return response.status(status).header(EngineHeaders.OUTCOME, NOT_RUN).send().then();
  }

  private static Publisher<Void> sendJson(HttpServerResponse response, ObjectNode node) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(JsonUtils.toText(node)));
  }
}
