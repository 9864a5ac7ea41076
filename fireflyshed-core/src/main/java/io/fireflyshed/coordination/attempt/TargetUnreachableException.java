package io.fireflyshed.coordination.attempt;

/**
 * Signals that no connection to a target could be established, so that the target did not receive
 * the request.
 */
public class TargetUnreachableException extends AttemptException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param message what went wrong, not null
   * @param cause the cause, or null
   */
  public TargetUnreachableException(String step, String peer, String message, Throwable cause) {
    super(step, peer, Outcome.NOT_RUN, message, cause);
  }

  @Override
  public boolean isUnsent() {
    return true;
  }
}
