package io.fireflyshed.coordination.retry;

import java.time.Duration;

/** Tells what follows a failed attempt. */
public sealed interface RetryDecision {

  /**
   * Tells to try again.
   *
   * @param delay how long to wait before
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * Tells to give the request up at once.
   *
   * @param reason why
   */
  record Stop(StopReason reason) implements RetryDecision {}

  /** Names the reasons to give a request up. */
  enum StopReason {
    /** The request may have run and must not run twice. */
    NOT_REPEATABLE,
    /** The most attempts were made. */
    TOO_MANY_ATTEMPTS,
    /** The deadline of the request leaves no time. */
    NO_TIME,
    /** Too many requests are being retried. */
    NO_BUDGET
  }
}
