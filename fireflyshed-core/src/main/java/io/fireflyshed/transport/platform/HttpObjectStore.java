package io.fireflyshed.transport.platform;

import io.fireflyshed.state.object.ObjectStore;
import io.fireflyshed.transport.http.HttpCaller;
import io.fireflyshed.transport.http.HttpReply;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Talks to the platform's object store over HTTP. Thread safe. */
public final class HttpObjectStore implements ObjectStore {

  private final PlatformCalls calls;

  /**
   * Creates a client.
   *
   * @param caller sends the requests, not null
   * @param address the address of the store, not null
   * @param timeout the longest wait for an answer, not null
   */
  public HttpObjectStore(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    calls = new PlatformCalls(caller, address, timeout);
  }

  @Override
  public CompletableFuture<Optional<String>> read(String name) {
    return calls
        .send("read-object", HttpMethod.GET, toPath(name), "")
        .thenApply(r -> r.isSuccess() ? Optional.of(r.getText()) : Optional.empty());
  }

  @Override
  public CompletableFuture<Void> write(String name, String text) {
    CompletableFuture<HttpReply> reply =
        calls.send("write-object", HttpMethod.PUT, toPath(name), text);
    return reply.thenApply(r -> null);
  }

  private static String toPath(String name) {
    return "/objects/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
