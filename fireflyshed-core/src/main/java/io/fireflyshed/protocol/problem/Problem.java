package io.fireflyshed.protocol.problem;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.json.JsonUtils;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Describes an error to a caller in the form of RFC 9457.
 *
 * @param status the HTTP status, 400 to 599
 * @param type the last part of the problem type, such as {@code unknown-model}, not null
 * @param detail what went wrong, not null
 * @param step the step that failed, not null
 * @param peer the peer at which it failed, not null
 * @param outcome what is known of the request, not null
 * @param isRetryable whether the caller may send the same request again
 * @param retryAfterSeconds when to come back, or empty, not null
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

  /** The media type of the body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:fireflyshed:problem:";

  /** Checks the parts of the record. */
  public Problem {
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(retryAfterSeconds, "retryAfterSeconds");
  }

  /**
   * Creates the problem of a request that the entry refused before it handed it to any target.
   *
   * @param status the HTTP status
   * @param type the last part of the problem type, not null
   * @param detail what went wrong, not null
   * @return a problem whose outcome is not-run and which is not retryable, never null
   */
  public static Problem ofRefusal(int status, String type, String detail) {
    return new Problem(
        status, type, detail, "accept", "entry", Outcome.NOT_RUN, false, OptionalInt.empty());
  }

  /**
   * Creates the problem of a request that the entry can't serve now and that did not run.
   *
   * @param status the HTTP status
   * @param type the last part of the problem type, not null
   * @param detail what went wrong, not null
   * @param retryAfterSeconds when to come back, positive
   * @return a retryable problem whose outcome is not-run, never null
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
   * Gets the body of the response.
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
    retryAfterSeconds.ifPresent(s -> node.put("retry_after_seconds", s));
    return JsonUtils.toText(node);
  }
}
