package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderReply;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import java.util.OptionalInt;

/** Maps the answers of an order ledger to problems. */
final class OrderProblems {

  private static final int RETRY_AFTER_SECONDS = 1;
  private static final String STEP = "order";
  private static final String PEER = "entry";

  private OrderProblems() {}

  /** Gets the problem that a reply other than a completed one means. */
  static ProblemException toProblem(OrderReply reply) {
    if (reply instanceof OrderReply.NotRun notRun) {
      return newNotRun(notRun.reason());
    }
    if (reply instanceof OrderReply.KeyReused) {
      return new ProblemException(
          Problem.ofRefusal(422, "key-reused", "the key was used with another body"));
    }
    return newUnknown(reply instanceof OrderReply.Unknown u && u.isFinal());
  }

  /** Gets the problem of an order that came after the placer was closed. */
  static ProblemException newClosing() {
    return newLater("shutting-down", "the entry is shutting down");
  }

  /** Gets the problem of a lookup that was in flight at the deadline of a shutdown. */
  static ProblemException newLookupCut() {
    return new ProblemException(
        new Problem(
            503,
            "shutting-down",
            "the entry shut down before the answer came",
            "lookup",
            PEER,
            Outcome.UNKNOWN,
            true,
            OptionalInt.of(RETRY_AFTER_SECONDS)));
  }

  /** Gets the problem of an order that may have run. */
  static ProblemException newUnknown(boolean isFinal) {
    String detail =
        isFinal
            ? "the target may have run the order; look it up before ordering anew"
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
          newLater(
              "store-unavailable", "this request did not run: its claim could not be committed");
      case QUEUE_FULL ->
          newLater("too-many-orders", "this request did not run: too many orders wait");
      case TARGETS_UNAVAILABLE ->
          newLater("no-target", "this request did not run: no target took it");
    };
  }

  private static ProblemException newLater(String type, String detail) {
    return new ProblemException(Problem.ofLater(503, type, detail, RETRY_AFTER_SECONDS));
  }
}
