package io.fireflyshed.daemon.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.error.ServingException;
import io.fireflyshed.transport.http.HttpCall;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.http.HttpReply;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls the operator API of entries. */
final class OperatorClient implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpCaller caller = new HttpCaller("operator");
  private final String token;

  OperatorClient(String token) {
    this.token = token;
  }

  /** Sends a request; the future fails with a ServingException unless the response is a success. */
  CompletableFuture<JsonNode> send(
      InetSocketAddress entry, HttpMethod method, String path, String body) {
    Map<String, String> headers = Map.of("authorization", "Bearer " + token);
    HttpCall call = new HttpCall("call-operator", entry, method, path, headers, body, TIMEOUT);
    return caller.send(call).thenApply(response -> check(call, response));
  }

  @Override
  public void close() {
    caller.close();
  }

  private static JsonNode check(HttpCall call, HttpReply response) {
    if (!response.isSuccess()) {
      throw new ServingException(
          call.step(), call.getPeerText(), response.status() + " " + response.getText());
    }
    return JsonUtils.parse(response.body());
  }
}
