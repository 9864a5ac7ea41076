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

/** Sends requests to the platform and maps its statuses to errors. Thread safe. */
final class PlatformCalls {

  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpCaller caller;
  private final InetSocketAddress address;
  private final Duration timeout;

  PlatformCalls(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    this.caller = caller;
    this.address = address;
    this.timeout = timeout;
  }

  /** Sends a request and reads a JSON answer. */
  CompletableFuture<JsonNode> sendJson(String step, HttpMethod method, String path, String body) {
    return send(step, method, path, body).thenApply(reply -> JsonUtils.parse(reply.body()));
  }

  /** Sends a request; a status of 404 counts as an answer. */
  CompletableFuture<HttpReply> send(String step, HttpMethod method, String path, String body) {
    HttpCall call = new HttpCall(step, address, method, path, Map.of(), body, timeout);
    return caller.send(call).thenApply(reply -> check(call, reply));
  }

  private static HttpReply check(HttpCall call, HttpReply reply) {
    if (reply.isSuccess() || reply.status() == NOT_FOUND) {
      return reply;
    }
    if (reply.status() == UNAVAILABLE
        || reply.status() == TOO_MANY_REQUESTS
        || reply.status() < 500) {
      throw new NoEffectException(
          call.step(), call.getPeerText(), "the platform answered " + reply.status(), null);
    }
    throw new EffectUnknownException(call.step(), call.getPeerText(), null);
  }
}
