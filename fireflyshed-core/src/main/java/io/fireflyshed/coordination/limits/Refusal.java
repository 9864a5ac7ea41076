package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the reason for refusing a request and the time after which the caller may retry.
 *
 * @param reason the reason, not null
 * @param retryAfter the time to wait before a retry, not null
 */
public record Refusal(Reason reason, Duration retryAfter) {

  /** The reason for refusing a request. */
  public enum Reason {
    /** The limits of the account would delay the start beyond the deadline of the request. */
    LIMITED,
    /** A lack of capacity would delay the start beyond the deadline of the request. */
    OVERLOADED,
    /** The queue of this process is full. */
    QUEUE_FULL
  }

  /** Validates the components. */
  public Refusal {
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(retryAfter, "retryAfter");
  }
}
