package io.fireflyshed.coordination.order;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderReply.NotRunReason;
import io.fireflyshed.coordination.order.OrderResult.State;
import io.fireflyshed.coordination.order.PendingOrder.Step;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides how one-time orders are claimed, dispatched and recorded so that each runs at most once.
 *
 * <p>An order is sent only by the attempt that its claim names, and only after that attempt knows
 * that the claim is committed. Claims are committed in groups, and so are results. The result of an
 * attempt never changes, so writing it twice or late is harmless.
 *
 * <p>This class performs no I/O: each method handles one event and returns the actions that follow
 * from it, which the owner carries out. Not thread safe.
 *
 * <pre>{@code
 * OrderLedger ledger = new OrderLedger(OrderSettings.ofDefaults(), "entry-1");
 * OrderKey key = new OrderKey(new ServiceName("desk"), "salon", "order-1");
 * List<OrderAction> actions = ledger.submit(0, 1, key, "digest");
 * CommitClaims claims = (CommitClaims) actions.get(0);
 * actions = ledger.onClaimsCommitted(0, claims.transaction());
 * Dispatch dispatch = (Dispatch) actions.get(0);
 * actions = ledger.onAnswered(0, key, dispatch.attempt(), 201, "placed");
 * }</pre>
 */
public final class OrderLedger {

  private final OrderSettings settings;
  private final String processId;
  private final Map<OrderKey, PendingOrder> pendingOrders = new HashMap<>();
  private final Deque<PendingOrder> queuedOrders = new ArrayDeque<>();
  private final Deque<List<PendingOrder>> requeuedGroups = new ArrayDeque<>();
  private final Deque<PendingOrder> ordersByDeadline = new ArrayDeque<>();
  private final List<PendingOrder> ordersWithFailedRead = new ArrayList<>();
  private final Map<Long, List<PendingOrder>> ordersByTransaction = new HashMap<>();
  private final ResultBuffer resultBuffer = new ResultBuffer();
  private final RecentOrders recentOrders = new RecentOrders();
  private long nextAttempt = 1;
  private long nextTransaction = 1;
  private Long nextClaimCommitNanos;
  private Long nextResultCommitNanos;
  private Long nextReadRetryNanos;

  /**
   * Creates a ledger without orders.
   *
   * @param settings the settings, not null
   * @param processId the id of this run of the process, which no other run may ever use, not null
   */
  public OrderLedger(OrderSettings settings, String processId) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.processId = Objects.requireNonNull(processId, "processId");
  }

  /**
   * Handles an order that a caller submitted.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param submission the number of the submission, which its reply refers to
   * @param key the order, not null
   * @param digest the digest of the body of the order, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> submit(long nowNanos, long submission, OrderKey key, String digest) {
    List<OrderAction> actions = new ArrayList<>();
    RecentOrders.CachedResult cached = recentOrders.get(key);
    PendingOrder pendingOrder = pendingOrders.get(key);
    if (cached != null) {
      OrderReply reply =
          cached.digest().equals(digest) ? toReply(cached.result()) : new OrderReply.KeyReused();
      actions.add(new OrderAction.Answer(submission, reply));
    } else if (pendingOrder != null) {
      addSubmission(pendingOrder, submission, digest, actions);
    } else if (pendingOrders.size() + resultBuffer.size() >= settings.maxOrders()) {
      OrderReply reply = new OrderReply.NotRun(NotRunReason.QUEUE_FULL);
      actions.add(new OrderAction.Answer(submission, reply));
    } else {
      long deadline = nowNanos + settings.claimTimeout().toNanos();
      PendingOrder order = new PendingOrder(key, digest, processId + "-" + nextAttempt++, deadline);
      order.submissions.add(submission);
      pendingOrders.put(key, order);
      queuedOrders.add(order);
      ordersByDeadline.add(order);
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles the commit of a claim transaction.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsCommitted(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : removeTransaction(transaction)) {
      // possibleClaimWrites is not decremented: the claim is in the table, so an order that ends
      // without a dispatch must have its result recorded.
      if (order.isInStep(Step.COMMITTING)) {
        dispatch(nowNanos, order, actions);
      }
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles a claim transaction that was not applied because conditions did not hold.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param transaction the number of the transaction
   * @param conflicts the orders whose conditions did not hold, or empty if it is not known which
   *     ones, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsConflict(
      long nowNanos, long transaction, Set<OrderKey> conflicts) {
    List<OrderAction> actions = new ArrayList<>();
    List<PendingOrder> unaffectedOrders = new ArrayList<>();
    for (PendingOrder order : removeTransaction(transaction)) {
      order.possibleClaimWrites--;
      if (!order.isInStep(Step.COMMITTING)) {
        continue;
      }
      if (conflicts.isEmpty() || conflicts.contains(order.key)) {
        order.step = Step.READING_HOLDER;
        actions.add(new OrderAction.ReadClaim(order.key, order.attempt));
      } else {
        unaffectedOrders.add(order);
      }
    }
    requeue(unaffectedOrders);
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles a claim transaction that certainly had no effect.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsRefused(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : removeTransaction(transaction)) {
      order.possibleClaimWrites--;
      if (order.isInStep(Step.COMMITTING)) {
        finishNotRun(order, NotRunReason.STORE_UNAVAILABLE, actions);
      }
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles a claim transaction whose response was lost.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsUnknown(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : removeTransaction(transaction)) {
      if (order.isInStep(Step.COMMITTING)) {
        order.step = Step.VERIFYING_CLAIM;
        actions.add(new OrderAction.ReadClaim(order.key, order.attempt));
      }
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles the stored claim of an order.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that requested the read, not null
   * @param stored the claim, or empty if there is none, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimRead(
      long nowNanos, OrderKey key, String attempt, Optional<StoredClaim> stored) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findOrderAwaitingRead(key, attempt);
    if (order != null) {
      onClaimRead(nowNanos, order, stored.orElse(null), actions);
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles the recorded result of the attempt that holds the claim of an order.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that requested the read, not null
   * @param result the result, or empty if none is recorded, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onResultRead(
      long nowNanos, OrderKey key, String attempt, Optional<OrderResult> result) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findOrderAwaitingRead(key, attempt);
    if (order != null && order.holder != null) {
      if (result.isPresent()) {
        applyResult(order, result.get(), actions);
      } else {
        finish(order, new OrderReply.Unknown(false), actions);
      }
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles a failed read of a claim or a result.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that requested the read, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onReadFailed(long nowNanos, OrderKey key, String attempt) {
    PendingOrder order = findOrderAwaitingRead(key, attempt);
    if (order != null) {
      ordersWithFailedRead.add(order);
      nextReadRetryNanos = nowNanos + settings.retryInterval().toNanos();
    }
    return tick(nowNanos);
  }

  /**
   * Handles the definite response of a target.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt, not null
   * @param status the status of the response
   * @param body the body of the response, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onAnswered(
      long nowNanos, OrderKey key, String attempt, int status, String body) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findDispatchedOrder(key, attempt);
    if (order != null) {
      OrderResult result = OrderResult.ofFinished(attempt, status, body);
      resultBuffer.add(order.group, result);
      recentOrders.put(key, order.digest, result);
      finish(order, toReply(result), actions);
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles a dispatch that ended without a definite response of the target.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt, not null
   * @param outcome whether the target ran the order, as far as known, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onBroken(long nowNanos, OrderKey key, String attempt, Outcome outcome) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findDispatchedOrder(key, attempt);
    if (order != null && outcome == Outcome.NOT_RUN) {
      if (order.triedTargets < settings.maxTargets()) {
        dispatch(nowNanos, order, actions);
      } else {
        finishNotRun(order, NotRunReason.TARGETS_UNAVAILABLE, actions);
      }
    } else if (order != null) {
      OrderResult result = OrderResult.ofState(attempt, State.UNKNOWN);
      resultBuffer.add(order.group, result);
      recentOrders.put(key, order.digest, result);
      finish(order, toReply(result), actions);
    }
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Handles the end of a batch of results.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @param batch the number of the batch
   * @param isRecorded whether the results are known to be recorded
   * @return the actions that follow, never null
   */
  public List<OrderAction> onResultsEnded(long nowNanos, long batch, boolean isRecorded) {
    resultBuffer.endBatch(batch, isRecorded);
    if (!isRecorded) {
      nextResultCommitNanos = nowNanos + settings.retryInterval().toNanos();
    }
    return tick(nowNanos);
  }

  /**
   * Handles deadlines, retries and commits that are due. Should be called a few times in each group
   * interval.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the actions that follow, never null
   */
  public List<OrderAction> tick(long nowNanos) {
    List<OrderAction> actions = new ArrayList<>();
    endExpiredOrders(nowNanos, actions);
    retryFailedReads(nowNanos, actions);
    commitDueGroups(nowNanos, actions);
    return actions;
  }

  /**
   * Returns the number of orders without a reply plus the number of results that are not recorded.
   *
   * @return the number, 0 or more
   */
  public int getOpen() {
    return pendingOrders.size() + resultBuffer.size();
  }

  private void addSubmission(
      PendingOrder order, long submission, String digest, List<OrderAction> actions) {
    if (order.digest.equals(digest)) {
      order.submissions.add(submission);
    } else {
      actions.add(new OrderAction.Answer(submission, new OrderReply.KeyReused()));
    }
  }

  private void onClaimRead(
      long nowNanos, PendingOrder order, StoredClaim stored, List<OrderAction> actions) {
    if (stored == null) {
      order.expectedVersion = 0;
      requeue(List.of(order));
    } else if (stored.claim().attempt().equals(order.attempt)) {
      dispatch(nowNanos, order, actions);
    } else if (!stored.claim().digest().equals(order.digest)) {
      finish(order, new OrderReply.KeyReused(), actions);
    } else {
      order.step = Step.READING_HOLDER;
      order.holder = stored;
      Optional<OrderResult> buffered = resultBuffer.find(stored.claim().attempt());
      if (buffered.isPresent()) {
        applyResult(order, buffered.get(), actions);
      } else {
        actions.add(new OrderAction.ReadResult(order.key, order.attempt, stored.claim()));
      }
    }
  }

  private void applyResult(PendingOrder order, OrderResult result, List<OrderAction> actions) {
    if (result.state() == State.NOT_RUN) {
      // The holder will never send the order, so its claim may be replaced at this version.
      order.expectedVersion = order.holder.version();
      order.holder = null;
      requeue(List.of(order));
    } else {
      recentOrders.put(order.key, order.digest, result);
      finish(order, toReply(result), actions);
    }
  }

  private void dispatch(long nowNanos, PendingOrder order, List<OrderAction> actions) {
    if (nowNanos - order.deadlineNanos >= 0) {
      NotRunReason reason =
          order.triedTargets == 0
              ? NotRunReason.STORE_UNAVAILABLE
              : NotRunReason.TARGETS_UNAVAILABLE;
      finishNotRun(order, reason, actions);
      return;
    }
    order.step = Step.DISPATCHED;
    long submission = order.submissions.get(0);
    actions.add(
        new OrderAction.Dispatch(order.key, order.attempt, submission, order.triedTargets++));
  }

  private void finishNotRun(PendingOrder order, NotRunReason reason, List<OrderAction> actions) {
    finish(order, new OrderReply.NotRun(reason), actions);
  }

  private void finish(PendingOrder order, OrderReply reply, List<OrderAction> actions) {
    boolean mayHaveRun = order.isInStep(Step.DISPATCHED) && !(reply instanceof OrderReply.NotRun);
    if (order.possibleClaimWrites > 0 && !mayHaveRun) {
      // The claim may be in the table or arrive there late, but this attempt will never use it.
      resultBuffer.add(order.group, OrderResult.ofState(order.attempt, State.NOT_RUN));
    }
    order.step = Step.REPLIED;
    pendingOrders.remove(order.key);
    order.submissions.forEach(submission -> actions.add(new OrderAction.Answer(submission, reply)));
  }

  private void requeue(List<PendingOrder> orders) {
    if (!orders.isEmpty()) {
      orders.forEach(order -> order.step = Step.QUEUED);
      requeuedGroups.add(orders);
    }
  }

  private List<PendingOrder> removeTransaction(long transaction) {
    List<PendingOrder> orders = ordersByTransaction.remove(transaction);
    return orders == null ? List.of() : orders;
  }

  private void endExpiredOrders(long nowNanos, List<OrderAction> actions) {
    while (!ordersByDeadline.isEmpty() && nowNanos - ordersByDeadline.peek().deadlineNanos >= 0) {
      PendingOrder order = ordersByDeadline.remove();
      if (order.isInStep(Step.READING_HOLDER)) {
        finish(order, new OrderReply.Unknown(false), actions);
      } else if (order.isBeforeDispatch()) {
        finishNotRun(order, NotRunReason.STORE_UNAVAILABLE, actions);
      }
    }
  }

  private void retryFailedReads(long nowNanos, List<OrderAction> actions) {
    if (ordersWithFailedRead.isEmpty() || nowNanos - nextReadRetryNanos < 0) {
      return;
    }
    for (PendingOrder order : ordersWithFailedRead) {
      if (order.isAwaitingRead()) {
        actions.add(
            order.holder == null
                ? new OrderAction.ReadClaim(order.key, order.attempt)
                : new OrderAction.ReadResult(order.key, order.attempt, order.holder.claim()));
      }
    }
    ordersWithFailedRead.clear();
  }

  private void commitDueGroups(long nowNanos, List<OrderAction> actions) {
    long interval = settings.groupInterval().toNanos();
    while (!requeuedGroups.isEmpty() && ordersByTransaction.size() < settings.maxOpenGroups()) {
      commitClaims(requeuedGroups.remove(), actions);
    }
    if (!queuedOrders.isEmpty()
        && ordersByTransaction.size() < settings.maxOpenGroups()
        && isDue(nextClaimCommitNanos, nowNanos)) {
      nextClaimCommitNanos = nowNanos + interval;
      commitClaims(pollQueuedGroup(), actions);
    }
    if (resultBuffer.canStartBatch() && isDue(nextResultCommitNanos, nowNanos)) {
      nextResultCommitNanos = nowNanos + interval;
      actions.add(resultBuffer.startBatch(settings.maxGroupOrders()));
    }
  }

  private static boolean isDue(Long dueNanos, long nowNanos) {
    return dueNanos == null || nowNanos - dueNanos >= 0;
  }

  private List<PendingOrder> pollQueuedGroup() {
    List<PendingOrder> orders = new ArrayList<>();
    while (!queuedOrders.isEmpty() && orders.size() < settings.maxGroupOrders()) {
      orders.add(queuedOrders.remove());
    }
    return orders;
  }

  private void commitClaims(List<PendingOrder> candidates, List<OrderAction> actions) {
    long transaction = nextTransaction;
    List<PendingOrder> orders = new ArrayList<>();
    List<OrderAction.ClaimWrite> claimWrites = new ArrayList<>();
    for (PendingOrder order : candidates) {
      if (order.isInStep(Step.QUEUED)) {
        order.group = order.group.isEmpty() ? processId + "-" + transaction : order.group;
        order.step = Step.COMMITTING;
        order.possibleClaimWrites++;
        orders.add(order);
        claimWrites.add(order.toClaimWrite());
      }
    }
    if (!orders.isEmpty()) {
      nextTransaction++;
      ordersByTransaction.put(transaction, orders);
      actions.add(new OrderAction.CommitClaims(transaction, claimWrites));
    }
  }

  private PendingOrder findOrderAwaitingRead(OrderKey key, String attempt) {
    PendingOrder order = pendingOrders.get(key);
    return order != null && order.attempt.equals(attempt) && order.isAwaitingRead() ? order : null;
  }

  private PendingOrder findDispatchedOrder(OrderKey key, String attempt) {
    PendingOrder order = pendingOrders.get(key);
    boolean isDispatched =
        order != null && order.attempt.equals(attempt) && order.isInStep(Step.DISPATCHED);
    return isDispatched ? order : null;
  }

  private static OrderReply toReply(OrderResult result) {
    return result.state() == State.FINISHED
        ? new OrderReply.Completed(result.status(), result.body())
        : new OrderReply.Unknown(true);
  }
}
