package io.fireflyshed.transport.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.protocol.engine.EngineHeaders;
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.error.ServingException;
import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.transport.http.HandOver;
import io.fireflyshed.transport.http.HttpCall;
import io.fireflyshed.transport.http.HttpCaller;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** An HTTP client of model engines. Thread safe. */
public final class HttpModelEngine implements ModelEngine {

  private static final Duration BODY_END_TIMEOUT = Duration.ofMillis(200);
  private static final String STREAM_STEP = "stream";

  private final HttpCaller caller;
  private final Duration controlTimeout;

  /**
   * Creates a client.
   *
   * @param caller sends the requests, not null
   * @param controlTimeout the maximum wait for the response to a control request, not null
   */
  public HttpModelEngine(HttpCaller caller, Duration controlTimeout) {
    this.caller = caller;
    this.controlTimeout = controlTimeout;
  }

  @Override
  public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
    return get("probe", instance, "/control/health").thenApply(HttpModelEngine::toHealth);
  }

  @Override
  public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
    return get("read-load", instance, "/control/load")
        .thenApply(
            node ->
                new LoadReport(
                    node.path("running").asInt(),
                    node.path("queued").asInt(),
                    node.path("cachedTokens").asLong(),
                    node.path("ageMillis").asLong()));
  }

  @Override
  public CompletableFuture<List<CacheChange>> readCacheChanges(
      InstanceRecord instance, long after) {
    return get("read-cache", instance, "/control/cache-events/" + after)
        .thenApply(
            node -> {
              List<CacheChange> changes = new ArrayList<>();
              node.path("events")
                  .forEach(
                      event ->
                          changes.add(
                              new CacheChange(
                                  event.path("sequence").asLong(),
                                  event.path("block").asLong(),
                                  event.path("stored").asBoolean())));
              return changes;
            });
  }

  @Override
  public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("fence", order.fence());
    node.put("replica", order.replica().map(ReplicaId::value).orElse(""));
    node.put("generation", order.generation());
    node.put("model", order.model());
    node.put("adapter", order.adapter());
    node.put("deadlineMillis", order.deadlineMillis());
    order.members().forEach(member -> node.withArray("members").add(member.value()));
    HttpCall call =
        new HttpCall(
            "order",
            instance.address(),
            HttpMethod.POST,
            "/control/orders",
            Map.of(),
            JsonUtils.toText(node),
            controlTimeout);
    return caller
        .sendOnNewConnection(call)
        .handle(
            (reply, error) -> {
              if (error != null) {
                throw toAttemptError("order", instance.getAddressText(), error);
              }
              if (!reply.isSuccess()) {
                throw newRefusedError(
                    "order", instance.getAddressText(), reply.status(), reply.headers());
              }
              return null;
            });
  }

  @Override
  public Flux<StreamChunk> stream(EngineRequest request) {
    return Flux.defer(
        () -> {
          String peer = request.replica().getHead().getAddressText();
          HandOver handOver = new HandOver();
          return newClient(request)
              .doOnRequest((httpRequest, connection) -> handOver.begin())
              .post()
              .uri("http://" + peer + request.kind().getPath())
              .send(
                  Mono.just(
                      Unpooled.wrappedBuffer(request.body().getBytes(StandardCharsets.UTF_8))))
              .response((response, body) -> decodeStream(request, peer, response, body))
              .onErrorMap(e -> toStreamError(peer, handOver.isGivenUp(), e));
        });
  }

  private HttpClient newClient(EngineRequest request) {
    return caller
        .getUnpooledClient()
        .headers(
            headers -> {
              headers.set("content-type", "application/json");
              headers.set(EngineHeaders.ATTEMPT, request.attempt());
              headers.set(EngineHeaders.REQUEST, request.requestId());
              headers.set(EngineHeaders.REPLICA, request.replica().id().value());
              headers.set(EngineHeaders.GENERATION, request.replica().generation());
              headers.set(EngineHeaders.OFFSET, request.offset());
              request.headers().forEach(headers::set);
            });
  }

  private static Flux<StreamChunk> decodeStream(
      EngineRequest request, String peer, HttpClientResponse response, ByteBufFlux body) {
    int status = response.status().code();
    if (status != 200) {
      return body.then()
          .thenMany(
              Flux.error(newRefusedError(STREAM_STEP, peer, status, response.responseHeaders())));
    }
    EngineStreamDecoder decoder = new EngineStreamDecoder(peer, request.offset());
    return body.asByteArray()
        .handle(decoder::decode)
        .takeUntilOther(decoder.awaitEnd().then(Mono.delay(BODY_END_TIMEOUT)))
        .concatWith(Flux.defer(decoder::getEnd));
  }

  private CompletableFuture<JsonNode> get(String step, InstanceRecord instance, String path) {
    HttpCall call =
        new HttpCall(step, instance.address(), HttpMethod.GET, path, Map.of(), "", controlTimeout);
    return caller
        .send(call)
        .thenApply(
            reply -> {
              if (!reply.isSuccess()) {
                throw new ServingException(
                    step,
                    instance.getAddressText(),
                    "the engine responded with status " + reply.status());
              }
              return JsonUtils.parse(reply.body());
            });
  }

  private static MemberHealth toHealth(JsonNode node) {
    String replica = node.path("replica").asText("");
    return new MemberHealth(
        new InstanceId(node.path("instance").asText()),
        new BootId(node.path("bootId").asText()),
        replica.isEmpty() ? Optional.empty() : Optional.of(new ReplicaId(replica)),
        node.path("generation").asLong(),
        node.path("ready").asBoolean(),
        node.path("leaving").asBoolean());
  }

  private static AttemptException newRefusedError(
      String step, String peer, int status, HttpHeaders headers) {
    Outcome outcome = Outcome.ofLabel(headers.get(EngineHeaders.OUTCOME));
    return new AttemptException(
        step, peer, outcome, "the engine responded with status " + status, null);
  }

  private static AttemptException toAttemptError(String step, String peer, Throwable error) {
    Throwable cause =
        error.getCause() != null && !(error instanceof ServingException) ? error.getCause() : error;
    Outcome outcome = cause instanceof NoEffectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    return new AttemptException(step, peer, outcome, String.valueOf(cause.getMessage()), cause);
  }

  private static Throwable toStreamError(String peer, boolean isUnsent, Throwable error) {
    if (error instanceof AttemptException) {
      return error;
    }
    String message = String.valueOf(error.getMessage());
    return isUnsent
        ? new AttemptException(STREAM_STEP, peer, Outcome.NOT_RUN, message, error)
        : new TargetLostException(STREAM_STEP, peer, Outcome.UNKNOWN, message, error);
  }
}
