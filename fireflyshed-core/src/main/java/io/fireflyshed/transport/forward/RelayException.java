package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import java.time.Duration;

/** Signals that another entry returned no response to a request that it was to forward. */
final class RelayException extends AttemptException {

  private static final long serialVersionUID = 1L;

  /** The retry delay after a failure for which the other entry states none. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

  private final Duration retryAfter;

  private RelayException(
      String step, String peer, Outcome outcome, Duration retryAfter, Throwable cause) {
    super(step, peer, outcome, cause.getMessage(), cause);
    this.retryAfter = retryAfter;
  }

  /** Converts an error of a relay; the outcome of an unexpected one is unknown. */
  static RelayException of(Throwable error) {
    if (error instanceof ForwardException failure) {
      return new RelayException(
          failure.getStep(),
          failure.getPeer(),
          failure.getOutcome(),
          failure.getRetryAfter(),
          failure);
    }
    if (error instanceof AttemptException failure) {
      return new RelayException(
          failure.getStep(), failure.getPeer(), failure.getOutcome(), DEFAULT_RETRY_AFTER, failure);
    }
    return new RelayException("relay", "entry", Outcome.UNKNOWN, DEFAULT_RETRY_AFTER, error);
  }

  Duration getRetryAfter() {
    return retryAfter;
  }
}
