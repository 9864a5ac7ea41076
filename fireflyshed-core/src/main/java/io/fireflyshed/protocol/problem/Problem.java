package io.fireflyshed.protocol.problem;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.json.JsonUtils;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A problem response to a caller, as defined by RFC 9457 (Problem Details for HTTP APIs).
 *
 * @param status the HTTP status, 400 to 599
 * @param type the last part of the problem type, such as {@code unknown-model}, not null
 * @param detail what went wrong, not null
 * @param step the step that failed, not null
 * @param peer the peer at which the step failed, not null
 * @param outcome whether a target ran the request, as far as known, not null
 * @param isRetryable whether the caller may send the same request again
 * @param retryAfterSeconds the number of seconds after which the caller may retry, or empty if
 *     unspecified, not null
 */
public record Problem(
    int status,
    String type,
    String detail,
    String step,
    String peer,
    Outcome outcome,
    boolean isRetryable,
    OptionalInt retryAfterSeconds) {

  /** The media type of the response body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:fireflyshed:problem:";

  /** Validates the components. */
  public Problem {
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(retryAfterSeconds, "retryAfterSeconds");
  }

  /**
   * Creates the problem of a request that the entry refused before forwarding it to any target.
   *
   * @param status the HTTP status
   * @param type the last part of the problem type, not null
   * @param detail what went wrong, not null
   * @return a problem with the outcome not-run, which is not retryable, never null
   */
  public static Problem ofRefusal(int status, String type, String detail) {
    return new Problem(
        status, type, detail, "accept", "entry", Outcome.NOT_RUN, false, OptionalInt.empty());
  }

  /**
   * Creates the problem of a request that the entry cannot serve at present and that did not run.
   *
   * @param status the HTTP status
   * @param type the last part of the problem type, not null
   * @param detail what went wrong, not null
   * @param retryAfterSeconds the number of seconds after which the caller may retry, positive
   * @return a problem with the outcome not-run, which is retryable, never null
   */
  public static Problem ofLater(int status, String type, String detail, int retryAfterSeconds) {
    return new Problem(
        status,
        type,
        detail,
        "accept",
        "entry",
        Outcome.NOT_RUN,
        true,
        OptionalInt.of(retryAfterSeconds));
  }

  /**
   * Returns the body of the response.
   *
   * @return a JSON text, never null
   */
  public String toJson() {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("type", TYPE_PREFIX + type);
    node.put("title", type.replace('-', ' '));
    node.put("status", status);
    node.put("detail", detail);
    node.put("step", step);
    node.put("peer", peer);
    node.put("outcome", outcome.getLabel());
    node.put("retryable", isRetryable);
    retryAfterSeconds.ifPresent(seconds -> node.put("retry_after_seconds", seconds));
    return JsonUtils.toText(node);
  }
}
