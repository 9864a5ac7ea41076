package io.fireflyshed.coordination.order;

import java.util.ArrayList;
import java.util.List;

/** Holds the progress of one order in this process. Not thread safe; belongs to its ledger. */
final class PendingOrder {

  /** Names the step at which an order is. */
  enum Step {
    /** Waits for a transaction. */
    QUEUED,
    /** Its claim is part of a transaction in flight. */
    COMMITTING,
    /** The answer of its transaction was lost; its claim is read back. */
    SETTLING,
    /** Another attempt holds the key; its claim or its result is read. */
    CHECKING,
    /** The claim is known to be committed; the order was handed to a target. */
    DISPATCHED,
    /** The caller was answered. */
    ENDED
  }

  final OrderKey key;
  final String digest;
  final String attempt;
  final long deadlineNanos;
  final List<Long> submissions = new ArrayList<>();
  Step step = Step.QUEUED;
  String group = "";
  long expectedVersion;
  StoredClaim holder;
  int targets;

  /** Counts the transactions with this claim of which it is not known whether they took effect. */
  int unsettled;

  PendingOrder(OrderKey key, String digest, String attempt, long deadlineNanos) {
    this.key = key;
    this.digest = digest;
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
  }

  OrderAction.ClaimWrite toWrite() {
    return new OrderAction.ClaimWrite(new OrderClaim(key, attempt, digest, group), expectedVersion);
  }

  boolean isAt(Step wanted) {
    return step == wanted;
  }

  boolean isReading() {
    return step == Step.SETTLING || step == Step.CHECKING;
  }

  boolean isBeforeDispatch() {
    return step != Step.DISPATCHED && step != Step.ENDED;
  }
}
