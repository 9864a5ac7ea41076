package io.fireflyshed.coordination.order;

import java.util.Objects;

/** Tells a caller how its order ended. */
public sealed interface OrderReply {

  /**
   * Carries the answer of the target, also when it is a recorded one.
   *
   * @param status the status that the target answered
   * @param body the body that the target answered, not null
   */
  record Completed(int status, String body) implements OrderReply {

    /** Checks the parts of the record. */
    public Completed {
      Objects.requireNonNull(body, "body");
    }
  }

  /**
   * Tells that this request did not run; the caller may send it again with the same key.
   *
   * @param reason why it did not run, not null
   */
  record NotRun(NotRunReason reason) implements OrderReply {

    /** Checks the parts of the record. */
    public NotRun {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Tells that it is not known whether the order ran.
   *
   * @param isFinal whether no later request with the key can learn more
   */
  record Unknown(boolean isFinal) implements OrderReply {}

  /** Tells that the key was used before with another body. */
  record KeyReused() implements OrderReply {}

  /** Tells why a request did not run. */
  enum NotRunReason {
    /** The claim could not be committed. */
    STORE_UNAVAILABLE,
    /** Too many orders wait in this process. */
    QUEUE_FULL,
    /** Every target that was tried certainly did not run the order. */
    TARGETS_UNAVAILABLE
  }
}
