package io.fireflyshed.transport.desk;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.protocol.engine.EngineHeaders;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.transport.http.HttpCall;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.http.HttpReply;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** An HTTP client of plain services. Thread safe. */
public final class HttpPlainService implements PlainService {

  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller sends the requests, not null
   * @param timeout the maximum wait for a response, not null
   */
  public HttpPlainService(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public CompletableFuture<DeskReply> order(InstanceRecord target, String key, String body) {
    Map<String, String> headers =
        Map.of("idempotency-key", key, "content-type", "application/json");
    return send(
        new HttpCall(
            "order", target.address(), HttpMethod.POST, "/orders", headers, body, timeout));
  }

  @Override
  public CompletableFuture<DeskReply> lookup(InstanceRecord target, String key) {
    String path = "/lookups/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    return send(
        new HttpCall("lookup", target.address(), HttpMethod.GET, path, Map.of(), "", timeout));
  }

  private CompletableFuture<DeskReply> send(HttpCall call) {
    return caller
        .sendOnNewConnection(call)
        .handle((reply, error) -> toDeskReply(call, reply, error));
  }

  private static DeskReply toDeskReply(HttpCall call, HttpReply reply, Throwable error) {
    if (error != null) {
      Throwable cause = error instanceof CompletionException ? error.getCause() : error;
      Outcome outcome = cause instanceof NoEffectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
      throw new AttemptException(
          call.step(), call.getPeerText(), outcome, String.valueOf(cause.getMessage()), cause);
    }
    if (reply.status() >= 500 || reply.status() == TOO_MANY_REQUESTS) {
      Outcome outcome = Outcome.ofLabel(reply.headers().get(EngineHeaders.OUTCOME));
      throw new AttemptException(
          call.step(),
          call.getPeerText(),
          outcome,
          "the target responded with status " + reply.status(),
          null);
    }
    return new DeskReply(reply.status(), reply.getText());
  }
}
