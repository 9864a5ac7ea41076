package io.fireflyshed.state.error;

/**
 * Signals that the changes since a given version are no longer available, so that the complete
 * state must be read again.
 */
public class HistoryLostException extends NoEffectException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the address or name of the peer, not null
   */
  public HistoryLostException(String step, String peer) {
    super(step, peer, "the changes since the given version are no longer available", null);
  }

  /**
   * Tests whether a read failed in such a way that the complete state must be read again.
   *
   * @param error the failure, which a future may have wrapped in another exception, not null
   * @return true if the failure is an exception of this class or has one as its direct cause
   */
  public static boolean isIn(Throwable error) {
    return error instanceof HistoryLostException
        || error.getCause() instanceof HistoryLostException;
  }
}
