package io.fireflyshed.protocol.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Describes a request whose body is passed on as it is.
 *
 * @param id the id of the caller's attempt, not null
 * @param method the method, not null
 * @param uri the path and query as the caller sent them, not null
 * @param host the host that the caller named, not null
 * @param headers the caller's headers, not null
 * @param key the key of the client account, not null
 * @param deadline the time for which the caller waits, empty if it did not say, not null
 * @param prompt the work of a generation, empty for other requests, not null
 * @param lastEventId the last event that the caller has of a broken stream, not null
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

  /** Checks the parts of the record. */
  public TrafficRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(uri, "uri");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(headers, "headers");
  }

  /**
   * Gets the path without its query.
   *
   * @return the path, never null
   */
  public String getPath() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
