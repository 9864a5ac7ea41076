package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * Describes one HTTP request to a peer.
 *
 * @param step the step to name in errors, not null
 * @param peer the address of the peer, not null
 * @param method the method, not null
 * @param path the path with its query, not null
 * @param headers the headers, copied, not null
 * @param body the body in UTF-8, empty for none, not null
 * @param timeout the longest wait for the whole response, positive, not null
 */
public record HttpCall(
    String step,
    InetSocketAddress peer,
    HttpMethod method,
    String path,
    Map<String, String> headers,
    String body,
    Duration timeout) {

  /** Checks the parts and copies the headers. */
  public HttpCall {
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(timeout, "timeout");
    headers = Map.copyOf(headers);
  }

  /**
   * Gets the address of the peer as {@code host:port}.
   *
   * @return the text, never null
   */
  public String getPeerText() {
    return peer.getHostString() + ":" + peer.getPort();
  }

  /**
   * Gets the URL of the request.
   *
   * @return the URL, never null
   */
  public String getUrl() {
    return "http://" + getPeerText() + path;
  }
}
