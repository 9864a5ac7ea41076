package io.fireflyshed.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.transport.http.HttpCall;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.http.HttpReply;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to the platform and maps error statuses to exceptions. Thread safe. */
final class PlatformClient {

  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpCaller caller;
  private final InetSocketAddress address;
  private final Duration timeout;

  PlatformClient(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    this.caller = caller;
    this.address = address;
    this.timeout = timeout;
  }

  /** Sends a request and parses the JSON body of the response. */
  CompletableFuture<JsonNode> sendJson(String step, HttpMethod method, String path, String body) {
    return send(step, method, path, body).thenApply(response -> JsonUtils.parse(response.body()));
  }

  /** Sends a request; a response with status 404 is returned like a successful one. */
  CompletableFuture<HttpReply> send(String step, HttpMethod method, String path, String body) {
    HttpCall call = new HttpCall(step, address, method, path, Map.of(), body, timeout);
    return caller.send(call).thenApply(response -> checkStatus(call, response));
  }

  private static HttpReply checkStatus(HttpCall call, HttpReply response) {
    if (response.isSuccess() || response.status() == NOT_FOUND) {
      return response;
    }
    if (response.status() == UNAVAILABLE
        || response.status() == TOO_MANY_REQUESTS
        || response.status() < 500) {
      throw new NoEffectException(
          call.step(),
          call.getPeerText(),
          "the platform responded with status " + response.status(),
          null);
    }
    throw new EffectUnknownException(call.step(), call.getPeerText(), null);
  }
}
