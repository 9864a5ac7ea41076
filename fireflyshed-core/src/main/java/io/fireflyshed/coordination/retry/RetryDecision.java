package io.fireflyshed.coordination.retry;

import java.time.Duration;

/** The decision on what follows a failed attempt. */
public sealed interface RetryDecision {

  /**
   * Makes another attempt.
   *
   * @param delay the time to wait before the attempt, not null
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * Fails the request without another attempt.
   *
   * @param reason the reason, not null
   */
  record Stop(StopReason reason) implements RetryDecision {}

  /** The reasons to fail a request without another attempt. */
  enum StopReason {
    /** The request may have run and must not run twice. */
    NOT_REPEATABLE,
    /** The maximum number of attempts was made. */
    TOO_MANY_ATTEMPTS,
    /** The deadline of the request would pass before the next attempt. */
    NO_TIME,
    /** The retry budget is exhausted. */
    NO_BUDGET
  }
}
