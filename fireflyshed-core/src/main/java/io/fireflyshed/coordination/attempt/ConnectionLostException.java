package io.fireflyshed.coordination.attempt;

/**
 * Signals that the connection to a target was lost after the request was sent, as when the target
 * crashes.
 */
public class ConnectionLostException extends AttemptException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param message what went wrong, not null
   * @param cause the cause, or null
   */
  public ConnectionLostException(String step, String peer, String message, Throwable cause) {
    super(step, peer, Outcome.UNKNOWN, message, cause);
  }
}
