package io.fireflyshed.coordination.order;

import java.util.Objects;

/**
 * The final result of one attempt. A result never changes once it is known.
 *
 * @param attempt the id of the attempt, not null
 * @param state how the attempt ended, not null
 * @param status the status of the target's response, 0 if there is none
 * @param body the body of the target's response, empty if there is none, not null
 */
public record OrderResult(String attempt, State state, int status, String body) {

  /** The way in which an attempt ended. */
  public enum State {
    /** The target gave a definite response. */
    FINISHED,
    /** The target may have run the order; its response was lost. */
    UNKNOWN,
    /** No target ran the order for this attempt, and none will. */
    NOT_RUN
  }

  /** Validates the components. */
  public OrderResult {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Creates the result of an attempt that received a definite response.
   *
   * @param attempt the id of the attempt, not null
   * @param status the status of the target's response
   * @param body the body of the target's response, not null
   * @return the result, never null
   */
  public static OrderResult ofFinished(String attempt, int status, String body) {
    return new OrderResult(attempt, State.FINISHED, status, body);
  }

  /**
   * Creates the result of an attempt without a definite response.
   *
   * @param attempt the id of the attempt, not null
   * @param state the state, not null
   * @return the result, never null
   */
  public static OrderResult ofState(String attempt, State state) {
    return new OrderResult(attempt, state, 0, "");
  }
}
