package io.fireflyshed.coordination.order;

import java.util.Objects;

/**
 * Holds the final result of one attempt. A result never changes once it is known.
 *
 * @param attempt the id of the attempt, not null
 * @param state how the attempt ended, not null
 * @param status the status that the target answered, 0 if it gave no answer
 * @param body the body that the target answered, empty if it gave no answer, not null
 */
public record OrderResult(String attempt, State state, int status, String body) {

  /** Tells how an attempt ended. */
  public enum State {
    /** The target gave a definite answer. */
    FINISHED,
    /** The target may have run the order; its answer was lost. */
    UNKNOWN,
    /** No target ran the order and none will on behalf of this attempt. */
    NOT_RUN
  }

  /** Checks the parts of the record. */
  public OrderResult {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Creates the result of an attempt that got a definite answer.
   *
   * @param attempt the id of the attempt, not null
   * @param status the status that the target answered
   * @param body the body that the target answered, not null
   * @return the result, never null
   */
  public static OrderResult ofFinished(String attempt, int status, String body) {
    return new OrderResult(attempt, State.FINISHED, status, body);
  }

  /**
   * Creates the result of an attempt without a definite answer.
   *
   * @param attempt the id of the attempt, not null
   * @param state the state, not null
   * @return the result, never null
   */
  public static OrderResult ofState(String attempt, State state) {
    return new OrderResult(attempt, state, 0, "");
  }
}
