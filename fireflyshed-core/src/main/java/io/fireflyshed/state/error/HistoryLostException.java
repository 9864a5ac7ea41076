package io.fireflyshed.state.error;

/** Signals that the changes after a version are no longer known, so that all must be read again. */
public class HistoryLostException extends NoEffectException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the address or name of the peer, not null
   */
  public HistoryLostException(String step, String peer) {
    super(step, peer, "the history of changes was dropped", null);
  }

  /**
   * Tests whether a failed reading must be followed by a reading of all.
   *
   * @param error the failure, which futures may have wrapped, not null
   * @return true if it is or was caused by a lost history
   */
  public static boolean isIn(Throwable error) {
    return error instanceof HistoryLostException
        || error.getCause() instanceof HistoryLostException;
  }
}
