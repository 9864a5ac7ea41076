package io.fireflyshed.coordination.order;

import java.util.List;
import java.util.Map;

/** An operation that an {@link OrderLedger} requests and that its owner carries out. */
public sealed interface OrderAction {

  /**
   * Commits claims in one transaction, which takes effect only if the row of every claim has the
   * expected version.
   *
   * @param transaction the number of the transaction, which the owner passes back with its outcome
   * @param claims the claims, copied, not null
   */
  record CommitClaims(long transaction, List<ClaimWrite> claims) implements OrderAction {

    /** Copies the list. */
    public CommitClaims {
      claims = List.copyOf(claims);
    }
  }

  /**
   * A claim to write and the row version that the write requires.
   *
   * @param claim the claim
   * @param expectedVersion the version that the row must have, or 0 if the row must not exist
   */
  record ClaimWrite(OrderClaim claim, long expectedVersion) {}

  /**
   * Reads the stored claim of an order.
   *
   * @param key the order
   * @param attempt the attempt that requests the read, which the owner passes back with the claim
   */
  record ReadClaim(OrderKey key, String attempt) implements OrderAction {}

  /**
   * Reads the recorded result of the attempt that holds the claim of an order.
   *
   * @param key the order
   * @param attempt the attempt that requests the read, which the owner passes back with the result
   * @param holder the claim of the attempt whose result is read
   */
  record ReadResult(OrderKey key, String attempt, OrderClaim holder) implements OrderAction {}

  /**
   * Sends an order to a target. The owner must send it at most once for each action.
   *
   * @param key the order
   * @param attempt the attempt
   * @param submission the number of the submission that holds the body
   * @param index the number of targets that the attempt has tried before
   */
  record Dispatch(OrderKey key, String attempt, long submission, int index)
      implements OrderAction {}

  /**
   * Writes results in one transaction, with a new row for each group.
   *
   * @param batch the number of the batch, which is part of the row keys and which the owner passes
   *     back with the outcome of the transaction
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
   * Replies to a submission. Each submission receives exactly one reply.
   *
   * @param submission the number of the submission
   * @param reply the reply
   */
  record Answer(long submission, OrderReply reply) implements OrderAction {}
}
