package io.fireflyshed.state.error;

import java.util.Objects;

/**
 * Signals that an operation failed at a peer.
 *
 * <p>The message contains the step and the peer, so that log lines and problem responses show where
 * the error occurred.
 */
public class ServingException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String step;
  private final String peer;

  /**
   * Creates an exception.
   *
   * @param step the step that failed, such as {@code read-table}, not null
   * @param peer the address or name of the peer, not null
   * @param message what went wrong, not null
   */
  public ServingException(String step, String peer, String message) {
    this(step, peer, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param step the step that failed, such as {@code read-table}, not null
   * @param peer the address or name of the peer, not null
   * @param message what went wrong, not null
   * @param cause the cause, or null
   */
  public ServingException(String step, String peer, String message, Throwable cause) {
    super(step + " at " + peer + ": " + message, cause);
    this.step = Objects.requireNonNull(step, "step");
    this.peer = Objects.requireNonNull(peer, "peer");
  }

  /**
   * Returns the step that failed.
   *
   * @return the step, never null
   */
  public String getStep() {
    return step;
  }

  /**
   * Returns the peer at which the step failed.
   *
   * @return the peer, never null
   */
  public String getPeer() {
    return peer;
  }
}
