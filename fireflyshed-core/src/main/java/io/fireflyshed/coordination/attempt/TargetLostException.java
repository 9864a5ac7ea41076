package io.fireflyshed.coordination.attempt;

/**
 * Signals that a target was lost while it was running an attempt, because its answer broke off or
 * stalled.
 */
public class TargetLostException extends AttemptException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param outcome whether the target ran the request, as far as known, not null
   * @param message what went wrong, not null
   * @param cause the cause, or null
   */
  public TargetLostException(
      String step, String peer, Outcome outcome, String message, Throwable cause) {
    super(step, peer, outcome, message, cause);
  }
}
