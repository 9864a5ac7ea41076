package io.fireflyshed.coordination.order;

import java.util.ArrayList;
import java.util.List;

/** The progress of one order in this process. Not thread safe; owned by an {@link OrderLedger}. */
final class PendingOrder {

  /** The step that an order has reached. */
  enum Step {
    /** Waits for a transaction. */
    QUEUED,
    /** Its claim is part of a transaction in flight. */
    COMMITTING,
    /** The response of its transaction was lost; its claim is read back. */
    VERIFYING_CLAIM,
    /** Another attempt holds the key; its claim or its result is read. */
    READING_HOLDER,
    /** The claim is known to be committed; the order was handed to a target. */
    DISPATCHED,
    /** The caller received its reply. */
    REPLIED
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
  int triedTargets;

  /** The number of transactions that wrote this claim, may have written it or may yet write it. */
  int possibleClaimWrites;

  PendingOrder(OrderKey key, String digest, String attempt, long deadlineNanos) {
    this.key = key;
    this.digest = digest;
    this.attempt = attempt;
    this.deadlineNanos = deadlineNanos;
  }

  OrderAction.ClaimWrite toClaimWrite() {
    return new OrderAction.ClaimWrite(new OrderClaim(key, attempt, digest, group), expectedVersion);
  }

  boolean isInStep(Step expected) {
    return step == expected;
  }

  boolean isAwaitingRead() {
    return step == Step.VERIFYING_CLAIM || step == Step.READING_HOLDER;
  }

  boolean isBeforeDispatch() {
    return step != Step.DISPATCHED && step != Step.REPLIED;
  }
}
