package io.fireflyshed.coordination.attempt;

/**
 * Signals that a target gave no sign of life in time, so that it was not sent the request at all.
 */
public class TargetSilentException extends AttemptException {

  private static final long serialVersionUID = 1L;

  private final boolean isFirst;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the target, not null
   * @param message what went wrong, not null
   * @param isFirst whether the target wasn't known to be silent before
   */
  public TargetSilentException(String step, String peer, String message, boolean isFirst) {
    super(step, peer, Outcome.NOT_RUN, message, null);
    this.isFirst = isFirst;
  }

  /**
   * Tests whether the target wasn't known to be silent before.
   *
   * @return true if others may have become silent at the same time
   */
  public boolean isFirst() {
    return isFirst;
  }

  @Override
  public boolean isUnsent() {
    return true;
  }
}
