package io.fireflyshed.state.error;

/** Signals that a request was sent, but that it is unknown whether it took effect. */
public class EffectUnknownException extends ServingException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, not null
   * @param peer the address or name of the peer, not null
   * @param cause the cause, or null
   */
  public EffectUnknownException(String step, String peer, Throwable cause) {
    super(step, peer, "the request was sent, but no conclusive response was received", cause);
  }
}
