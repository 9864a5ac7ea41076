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

/** Reads and writes objects of the platform's object store over HTTP. Thread safe. */
public final class HttpObjectStore implements ObjectStore {

  private final PlatformClient client;

  /**
   * Creates a client.
   *
   * @param caller sends HTTP requests, not null
   * @param address the address of the store, not null
   * @param timeout the longest wait for a response, not null
   */
  public HttpObjectStore(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    client = new PlatformClient(caller, address, timeout);
  }

  @Override
  public CompletableFuture<Optional<String>> read(String name) {
    return client
        .send("read-object", HttpMethod.GET, toPath(name), "")
        .thenApply(
            response -> response.isSuccess() ? Optional.of(response.getText()) : Optional.empty());
  }

  @Override
  public CompletableFuture<Void> write(String name, String text) {
    CompletableFuture<HttpReply> pending =
        client.send("write-object", HttpMethod.PUT, toPath(name), text);
    return pending.thenApply(response -> null);
  }

  private static String toPath(String name) {
    return "/objects/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
