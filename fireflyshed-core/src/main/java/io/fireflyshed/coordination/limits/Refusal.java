package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * Tells why a request is refused and when to come back.
 *
 * @param reason why, not null
 * @param retryAfter when to come back, not null
 */
public record Refusal(Reason reason, Duration retryAfter) {

  /** Why a request is refused. */
  public enum Reason {
    /** The limits of the account would hold the request past its deadline. */
    LIMITED,
    /** The capacity of this process would hold the request past its deadline. */
    OVERLOADED,
    /** The queue is full. */
    QUEUE_FULL
  }

  /** Checks the parts of the record. */
  public Refusal {
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(retryAfter, "retryAfter");
  }
}
