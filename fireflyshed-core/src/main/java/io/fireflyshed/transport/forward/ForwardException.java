package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.error.ServingException;
import java.time.Duration;
import java.util.Objects;

/** Signals that a request ends without an answer of a target. */
public final class ForwardException extends ServingException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;
  private final Duration retryAfter;
  private final boolean isTimeout;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target or the part of this process, not null
   * @param message what went wrong, not null
   * @param outcome whether the request may have run, not null
   * @param retryAfter when the caller may come back, not null
   * @param isTimeout whether the time of the request has passed
   */
  public ForwardException(
      String step,
      String peer,
      String message,
      Outcome outcome,
      Duration retryAfter,
      boolean isTimeout) {
    super(step, peer, message);
    this.outcome = Objects.requireNonNull(outcome, "outcome");
    this.retryAfter = Objects.requireNonNull(retryAfter, "retryAfter");
    this.isTimeout = isTimeout;
  }

  /**
   * Gets whether the request may have run.
   *
   * @return the outcome of all attempts together, never null
   */
  public Outcome getOutcome() {
    return outcome;
  }

  /**
   * Gets the time after which the caller may come back.
   *
   * @return the time, never null
   */
  public Duration getRetryAfter() {
    return retryAfter;
  }

  /**
   * Tests whether the time of the request has passed.
   *
   * @return true at the deadline
   */
  public boolean isTimeout() {
    return isTimeout;
  }
}
