package io.fireflyshed.coordination.order;

import java.util.Objects;

/** The reply to the caller of an order. */
public sealed interface OrderReply {

  /**
   * The response of the target, either just received or recorded earlier.
   *
   * @param status the status of the response
   * @param body the body of the response, not null
   */
  record Completed(int status, String body) implements OrderReply {

    /** Validates the components. */
    public Completed {
      Objects.requireNonNull(body, "body");
    }
  }

  /**
   * States that this request did not run; the caller may send it again with the same key.
   *
   * @param reason why the request did not run, not null
   */
  record NotRun(NotRunReason reason) implements OrderReply {

    /** Validates the components. */
    public NotRun {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * States that it is not known whether the order ran.
   *
   * @param isFinal whether no later request with the same key can find out more
   */
  record Unknown(boolean isFinal) implements OrderReply {}

  /** States that the key was used before with a different body. */
  record KeyReused() implements OrderReply {}

  /** The reason why a request did not run. */
  enum NotRunReason {
    /** The claim could not be committed in time. */
    STORE_UNAVAILABLE,
    /** Too many orders are open in this process. */
    QUEUE_FULL,
    /** None of the targets that were tried ran the order. */
    TARGETS_UNAVAILABLE
  }
}
