package io.fireflyshed.protocol.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The head of a request whose body is forwarded unchanged.
 *
 * @param id the id of the caller's attempt, not null
 * @param method the method, not null
 * @param uri the path and query as the caller sent them, not null
 * @param host the host that the caller addressed, not null
 * @param headers the caller's headers, not null
 * @param key the API key of the client account, empty if the request has none, not null
 * @param deadline the time for which the caller waits for the response, empty if not stated, not
 *     null
 * @param prompt the size of the generation, empty for other requests, not null
 * @param lastEventId the id of the last event that the caller received from an interrupted stream,
 *     empty for a new stream, not null
 */
public record TrafficRequest(
    String id,
    HttpMethod method,
    String uri,
    String host,
    HttpHeaders headers,
    Optional<String> key,
    Optional<Duration> deadline,
    Optional<PromptDescriptor> prompt,
    OptionalLong lastEventId) {

  /** Validates the components. */
  public TrafficRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(uri, "uri");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(headers, "headers");
  }

  /**
   * Returns the path without the query.
   *
   * @return the path, never null
   */
  public String getPath() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
