package io.fireflyshed.state.error;

/**
 * Signals that a request certainly took no effect, because it did not reach the peer or the peer
 * refused it.
 */
public class NoEffectException extends ServingException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the address or name of the peer, not null
   * @param message why the request took no effect, not null
   * @param cause the cause, or null
   */
  public NoEffectException(String step, String peer, String message, Throwable cause) {
    super(step, peer, message, cause);
  }
}
