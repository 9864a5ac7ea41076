package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderReply;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import java.util.OptionalInt;

/** Creates the problems that orders and lookups end with. */
final class OrderProblems {

  private static final int RETRY_AFTER_SECONDS = 1;
  private static final String STEP = "order";
  private static final String PEER = "entry";

  private OrderProblems() {}

  /** Converts a reply other than {@link OrderReply.Completed} to a problem. */
  static ProblemException toProblem(OrderReply reply) {
    if (reply instanceof OrderReply.NotRun notRun) {
      return newNotRun(notRun.reason());
    }
    if (reply instanceof OrderReply.KeyReused) {
      return new ProblemException(
          Problem.ofRefusal(422, "key-reused", "the key was used before with a different body"));
    }
    return newUnknown(reply instanceof OrderReply.Unknown unknown && unknown.isFinal());
  }

  /** Creates the problem of an order or a lookup that the shutdown kept from being sent. */
  static ProblemException newShuttingDown() {
    return newRetryable("shutting-down", "the entry is shutting down");
  }

  /** Creates the problem of a lookup that was in flight at the deadline of a shutdown. */
  static ProblemException newLookupInterrupted() {
    return new ProblemException(
        new Problem(
            502,
            "shutting-down",
            "the entry shut down before a target responded",
            "lookup",
            PEER,
            Outcome.UNKNOWN,
            true,
            OptionalInt.of(RETRY_AFTER_SECONDS)));
  }

  /**
   * Creates the problem of an order that may have run.
   *
   * @param isFinal whether no later request with the same key can find out more
   */
  static ProblemException newUnknown(boolean isFinal) {
    String detail =
        isFinal
            ? "the target may have run the order; look it up before placing a new order"
            : "the order with this key has no recorded result yet";
    return new ProblemException(
        new Problem(
            isFinal ? 502 : 409,
            "order-unknown",
            detail,
            STEP,
            PEER,
            Outcome.UNKNOWN,
            !isFinal,
            isFinal ? OptionalInt.empty() : OptionalInt.of(RETRY_AFTER_SECONDS)));
  }

  private static ProblemException newNotRun(OrderReply.NotRunReason reason) {
    return switch (reason) {
      case STORE_UNAVAILABLE ->
          newRetryable(
              "store-unavailable", "this request did not run: its claim could not be committed");
      case QUEUE_FULL ->
          newRetryable("too-many-orders", "this request did not run: too many orders are open");
      case TARGETS_UNAVAILABLE ->
          newRetryable("no-target", "this request did not run: no target accepted it");
    };
  }

  private static ProblemException newRetryable(String type, String detail) {
    return new ProblemException(Problem.ofLater(503, type, detail, RETRY_AFTER_SECONDS));
  }
}
