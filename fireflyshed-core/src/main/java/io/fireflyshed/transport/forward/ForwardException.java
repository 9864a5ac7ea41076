package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.error.ServingException;
import java.time.Duration;
import java.util.Objects;

/** Signals that no target gave a response to a request that can be returned to the caller. */
public final class ForwardException extends ServingException {

  private static final long serialVersionUID = 1L;

  /** The retry delay during a shutdown, since other entries can take the request at once. */
  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);

  private final Outcome outcome;
  private final Duration retryAfter;
  private final boolean isTimeout;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, or the part of this process that failed the request, not null
   * @param message what went wrong, not null
   * @param outcome whether any target may have run the request, not null
   * @param retryAfter the delay after which the caller may retry, not null
   * @param isTimeout whether the request failed because its timeout has passed
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

  /** Creates the exception of a request that the shutdown of this entry ends or refuses. */
  static ForwardException ofShutdown(Outcome outcome) {
    return new ForwardException(
        "shutdown", "entry", "the entry is shutting down", outcome, RETRY_ELSEWHERE, false);
  }

  /**
   * Gets whether any target may have run the request.
   *
   * @return the combined outcome of all attempts, never null
   */
  public Outcome getOutcome() {
    return outcome;
  }

  /**
   * Gets the delay after which the caller may retry.
   *
   * @return the delay, never null
   */
  public Duration getRetryAfter() {
    return retryAfter;
  }

  /**
   * Tests whether the request failed because its timeout has passed.
   *
   * @return true if the request timed out
   */
  public boolean isTimeout() {
    return isTimeout;
  }
}
