package io.fireflyshed.transport.http;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * Describes an HTTP request to a peer.
 *
 * @param step the name of the step that the request performs, for error messages, not null
 * @param peer the address of the peer, not null
 * @param method the method, not null
 * @param path the path and the query, not null
 * @param headers the headers, copied, not null
 * @param body the body, which is sent in UTF-8, empty for none, not null
 * @param timeout the maximum wait for the complete response, positive, not null
 */
public record HttpCall(
    String step,
    InetSocketAddress peer,
    HttpMethod method,
    String path,
    Map<String, String> headers,
    String body,
    Duration timeout) {

  /** Validates the components and copies the headers. */
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
   * Returns the address of the peer in the form {@code host:port}.
   *
   * @return the address, never null
   */
  public String getPeerText() {
    return peer.getHostString() + ":" + peer.getPort();
  }

  /**
   * Returns the URL of the request.
   *
   * @return the URL, never null
   */
  public String getUrl() {
    return "http://" + getPeerText() + path;
  }
}
