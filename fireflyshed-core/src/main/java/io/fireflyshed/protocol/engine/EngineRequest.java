package io.fireflyshed.protocol.engine;

import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.state.replica.Assignment;
import java.util.Map;
import java.util.Objects;

/**
 * An attempt to run a completion on a replica.
 *
 * @param attempt the id of the attempt, not null
 * @param requestId the id of the caller's request, not null
 * @param replica the replica and its generation, not null
 * @param kind the kind of the request, not null
 * @param body the JSON text of the request, not null
 * @param offset the number of tokens that the caller has already received, 0 or more
 * @param headers additional headers, such as the trace parent, copied, not null
 */
public record EngineRequest(
    String attempt,
    String requestId,
    Assignment replica,
    CompletionKind kind,
    String body,
    long offset,
    Map<String, String> headers) {

  /** Validates the components and copies the headers. */
  public EngineRequest {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(replica, "replica");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(body, "body");
    if (offset < 0) {
      throw new IllegalArgumentException("offset must not be negative: " + offset);
    }
    headers = Map.copyOf(headers);
  }
}
