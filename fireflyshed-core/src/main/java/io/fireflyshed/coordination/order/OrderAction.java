package io.fireflyshed.coordination.order;

import java.util.List;
import java.util.Map;

/** Tells the caller of an {@link OrderLedger} what to do next. */
public sealed interface OrderAction {

  /**
   * Asks to commit claims in one transaction, each on condition of the version of its row.
   *
   * @param transaction the number of the transaction, to name in the event that answers it
   * @param claims the claims, copied, not null
   */
  record CommitClaims(long transaction, List<ClaimWrite> claims) implements OrderAction {

    /** Copies the list. */
    public CommitClaims {
      claims = List.copyOf(claims);
    }
  }

  /**
   * Describes the write of one claim.
   *
   * @param claim the claim
   * @param expectedVersion the version that the row must have, 0 if it must not exist
   */
  record ClaimWrite(OrderClaim claim, long expectedVersion) {}

  /**
   * Asks to read the claim of an order.
   *
   * @param key the order
   * @param attempt the attempt that wants to know
   */
  record ReadClaim(OrderKey key, String attempt) implements OrderAction {}

  /**
   * Asks to read the recorded result of the attempt that holds a claim.
   *
   * @param key the order
   * @param attempt the attempt that wants to know
   * @param holder the claim whose result is wanted
   */
  record ReadResult(OrderKey key, String attempt, OrderClaim holder) implements OrderAction {}

  /**
   * Asks to send an order to a target. It must be sent at most once for each such action.
   *
   * @param key the order
   * @param attempt the attempt
   * @param submission the number of the submission that holds the body
   * @param index counts the targets tried by the attempt, from 0
   */
  record Dispatch(OrderKey key, String attempt, long submission, int index)
      implements OrderAction {}

  /**
   * Asks to write results in one transaction, a new row for each group.
   *
   * @param batch the number of the batch, to name in the event that answers it and in the rows
   * @param resultsByGroup the results, copied, not null
   */
  record CommitResults(long batch, Map<String, List<OrderResult>> resultsByGroup)
      implements OrderAction {

    /** Copies the map. */
    public CommitResults {
      resultsByGroup = Map.copyOf(resultsByGroup);
    }
  }

  /**
   * Asks to answer a submission. Each submission gets exactly one answer.
   *
   * @param submission the number of the submission
   * @param reply the answer
   */
  record Answer(long submission, OrderReply reply) implements OrderAction {}
}
