package io.fireflyshed.coordination.attempt;

import io.fireflyshed.state.error.ServingException;
import java.util.Objects;

/** Signals that an attempt ended without a complete answer, with what is known of its effect. */
public class AttemptException extends ServingException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param outcome whether the target ran the request, as far as known, not null
   * @param message what went wrong, not null
   * @param cause the cause, or null
   */
  public AttemptException(
      String step, String peer, Outcome outcome, String message, Throwable cause) {
    super(step, peer, message, cause);
    this.outcome = Objects.requireNonNull(outcome, "outcome");
  }

  /**
   * Returns whether the target ran the request, as far as known.
   *
   * @return the outcome, never null
   */
  public Outcome getOutcome() {
    return outcome;
  }

  /**
   * Tests whether nothing of the request was sent to the target, which may thus get it later.
   *
   * @return true if the target surely didn't receive the request
   */
  public boolean isUnsent() {
    return false;
  }
}
