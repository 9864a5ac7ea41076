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
 * Decides how one-time orders are claimed, sent and recorded, so that each runs at most once.
 *
 * <p>An order is sent only by the attempt that is named in its claim, and only after that attempt
 * knows that its claim is committed. Claims are committed in groups and results are recorded in
 * groups. Every result is a fact on one attempt that never changes, so writing it again or late
 * does no harm.
 *
 * <p>The ledger does no work itself: each method takes in one event and returns the actions that
 * follow. Not thread safe.
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
  private final String process;
  private final Map<OrderKey, PendingOrder> pending = new HashMap<>();
  private final Deque<PendingOrder> queue = new ArrayDeque<>();
  private final Deque<List<PendingOrder>> retries = new ArrayDeque<>();
  private final Deque<PendingOrder> deadlines = new ArrayDeque<>();
  private final List<PendingOrder> failedReads = new ArrayList<>();
  private final Map<Long, List<PendingOrder>> transactions = new HashMap<>();
  private final ResultBuffer results = new ResultBuffer();
  private final RecentOrders recent = new RecentOrders();
  private long nextAttempt = 1;
  private long nextTransaction = 1;
  private Long nextClaimNanos;
  private Long nextResultNanos;
  private Long nextReadNanos;

  /**
   * Creates a ledger without orders.
   *
   * @param settings the limits, not null
   * @param process identifies this run of the process; no other run may ever use it, not null
   */
  public OrderLedger(OrderSettings settings, String process) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.process = Objects.requireNonNull(process, "process");
  }

  /**
   * Takes in an order of a caller.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param submission a number that the answer names
   * @param key the order, not null
   * @param digest the digest of its body, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> submit(long nowNanos, long submission, OrderKey key, String digest) {
    List<OrderAction> actions = new ArrayList<>();
    RecentOrders.Entry known = recent.get(key);
    PendingOrder open = pending.get(key);
    if (known != null) {
      OrderReply reply =
          known.digest().equals(digest) ? toReply(known.result()) : new OrderReply.KeyReused();
      actions.add(new OrderAction.Answer(submission, reply));
    } else if (open != null) {
      join(open, submission, digest, actions);
    } else if (pending.size() + results.size() >= settings.maxOrders()) {
      OrderReply reply = new OrderReply.NotRun(NotRunReason.QUEUE_FULL);
      actions.add(new OrderAction.Answer(submission, reply));
    } else {
      long deadline = nowNanos + settings.claimTimeout().toNanos();
      PendingOrder order = new PendingOrder(key, digest, process + "-" + nextAttempt++, deadline);
      order.submissions.add(submission);
      pending.put(key, order);
      queue.add(order);
      deadlines.add(order);
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that a transaction of claims was committed.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsCommitted(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : end(transaction)) {
      // The claim is certainly in the table, so a given-up order still needs its recorded result.
      if (order.isAt(Step.COMMITTING)) {
        dispatch(nowNanos, order, actions);
      }
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that a transaction of claims was not applied because conditions did not hold.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param transaction the number of the transaction
   * @param conflicts the orders whose conditions did not hold; if empty, any may be at fault
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsConflict(
      long nowNanos, long transaction, Set<OrderKey> conflicts) {
    List<OrderAction> actions = new ArrayList<>();
    List<PendingOrder> others = new ArrayList<>();
    for (PendingOrder order : end(transaction)) {
      order.unsettled--;
      if (!order.isAt(Step.COMMITTING)) {
        continue;
      }
      if (conflicts.isEmpty() || conflicts.contains(order.key)) {
        order.step = Step.CHECKING;
        actions.add(new OrderAction.ReadClaim(order.key, order.attempt));
      } else {
        others.add(order);
      }
    }
    retry(others);
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that a transaction of claims certainly took no effect.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsRefused(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : end(transaction)) {
      order.unsettled--;
      if (order.isAt(Step.COMMITTING)) {
        endNotRun(order, NotRunReason.STORE_UNAVAILABLE, actions);
      }
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that the answer of a transaction of claims was lost.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param transaction the number of the transaction
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimsUnknown(long nowNanos, long transaction) {
    List<OrderAction> actions = new ArrayList<>();
    for (PendingOrder order : end(transaction)) {
      if (order.isAt(Step.COMMITTING)) {
        order.step = Step.SETTLING;
        actions.add(new OrderAction.ReadClaim(order.key, order.attempt));
      }
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in the claim of an order as it was read.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that wanted to know, not null
   * @param stored the claim, or empty if there is none, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onClaimRead(
      long nowNanos, OrderKey key, String attempt, Optional<StoredClaim> stored) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findReading(key, attempt);
    if (order != null) {
      onClaimRead(nowNanos, order, stored.orElse(null), actions);
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in the recorded result of the attempt that holds the claim of an order.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that wanted to know, not null
   * @param result the result, or empty if none is recorded, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onResultRead(
      long nowNanos, OrderKey key, String attempt, Optional<OrderResult> result) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findReading(key, attempt);
    if (order != null && order.holder != null) {
      if (result.isPresent()) {
        applyResult(order, result.get(), actions);
      } else {
        end(order, new OrderReply.Unknown(false), actions);
      }
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that a claim or a result could not be read.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt that wanted to know, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onReadFailed(long nowNanos, OrderKey key, String attempt) {
    PendingOrder order = findReading(key, attempt);
    if (order != null) {
      failedReads.add(order);
      nextReadNanos = nowNanos + settings.retryInterval().toNanos();
    }
    return tick(nowNanos);
  }

  /**
   * Takes in the definite answer of a target.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt, not null
   * @param status the status of the answer
   * @param body the body of the answer, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onAnswered(
      long nowNanos, OrderKey key, String attempt, int status, String body) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findDispatched(key, attempt);
    if (order != null) {
      OrderResult result = OrderResult.ofFinished(attempt, status, body);
      results.add(order.group, result);
      recent.put(key, order.digest, result);
      end(order, toReply(result), actions);
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in that a target gave no definite answer.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param key the order, not null
   * @param attempt the attempt, not null
   * @param outcome what is known, not null
   * @return the actions that follow, never null
   */
  public List<OrderAction> onBroken(long nowNanos, OrderKey key, String attempt, Outcome outcome) {
    List<OrderAction> actions = new ArrayList<>();
    PendingOrder order = findDispatched(key, attempt);
    if (order != null && outcome == Outcome.NOT_RUN) {
      if (order.targets < settings.maxTargets()) {
        dispatch(nowNanos, order, actions);
      } else {
        endNotRun(order, NotRunReason.TARGETS_UNAVAILABLE, actions);
      }
    } else if (order != null) {
      OrderResult result = OrderResult.ofState(attempt, State.UNKNOWN);
      results.add(order.group, result);
      recent.put(key, order.digest, result);
      end(order, toReply(result), actions);
    }
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Takes in how a batch of results ended.
   *
   * @param nowNanos the reading of the monotonic clock
   * @param batch the number of the batch
   * @param isRecorded whether the results are known to be recorded
   * @return the actions that follow, never null
   */
  public List<OrderAction> onResultsEnded(long nowNanos, long batch, boolean isRecorded) {
    results.end(batch, isRecorded);
    if (!isRecorded) {
      nextResultNanos = nowNanos + settings.retryInterval().toNanos();
    }
    return tick(nowNanos);
  }

  /**
   * Takes in that time has passed. It should be called a few times in each group interval.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the actions that follow, never null
   */
  public List<OrderAction> tick(long nowNanos) {
    List<OrderAction> actions = new ArrayList<>();
    expire(nowNanos, actions);
    repeatReads(nowNanos, actions);
    flush(nowNanos, actions);
    return actions;
  }

  /**
   * Gets the number of orders that were not answered or whose result is not recorded.
   *
   * @return the count, 0 or more
   */
  public int getOpen() {
    return pending.size() + results.size();
  }

  private void join(PendingOrder order, long submission, String digest, List<OrderAction> actions) {
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
      retry(List.of(order));
    } else if (stored.claim().attempt().equals(order.attempt)) {
      dispatch(nowNanos, order, actions);
    } else if (!stored.claim().digest().equals(order.digest)) {
      end(order, new OrderReply.KeyReused(), actions);
    } else {
      order.step = Step.CHECKING;
      order.holder = stored;
      Optional<OrderResult> known = results.find(stored.claim().attempt());
      if (known.isPresent()) {
        applyResult(order, known.get(), actions);
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
      retry(List.of(order));
    } else {
      recent.put(order.key, order.digest, result);
      end(order, toReply(result), actions);
    }
  }

  private void dispatch(long nowNanos, PendingOrder order, List<OrderAction> actions) {
    if (nowNanos - order.deadlineNanos >= 0) {
      NotRunReason reason =
          order.targets == 0 ? NotRunReason.STORE_UNAVAILABLE : NotRunReason.TARGETS_UNAVAILABLE;
      endNotRun(order, reason, actions);
      return;
    }
    order.step = Step.DISPATCHED;
    long submission = order.submissions.get(0);
    actions.add(new OrderAction.Dispatch(order.key, order.attempt, submission, order.targets++));
  }

  private void endNotRun(PendingOrder order, NotRunReason reason, List<OrderAction> actions) {
    end(order, new OrderReply.NotRun(reason), actions);
  }

  private void end(PendingOrder order, OrderReply reply, List<OrderAction> actions) {
    boolean isSent = order.isAt(Step.DISPATCHED) && !(reply instanceof OrderReply.NotRun);
    if (order.unsettled > 0 && !isSent) {
      // The claim may be in the table or arrive there late; this attempt will never use it.
      results.add(order.group, OrderResult.ofState(order.attempt, State.NOT_RUN));
    }
    order.step = Step.ENDED;
    pending.remove(order.key);
    order.submissions.forEach(s -> actions.add(new OrderAction.Answer(s, reply)));
  }

  private void retry(List<PendingOrder> orders) {
    if (!orders.isEmpty()) {
      orders.forEach(o -> o.step = Step.QUEUED);
      retries.add(orders);
    }
  }

  private List<PendingOrder> end(long transaction) {
    List<PendingOrder> orders = transactions.remove(transaction);
    return orders == null ? List.of() : orders;
  }

  private void expire(long nowNanos, List<OrderAction> actions) {
    while (!deadlines.isEmpty() && nowNanos - deadlines.peek().deadlineNanos >= 0) {
      PendingOrder order = deadlines.remove();
      if (order.isAt(Step.CHECKING)) {
        end(order, new OrderReply.Unknown(false), actions);
      } else if (order.isBeforeDispatch()) {
        endNotRun(order, NotRunReason.STORE_UNAVAILABLE, actions);
      }
    }
  }

  private void repeatReads(long nowNanos, List<OrderAction> actions) {
    if (failedReads.isEmpty() || nowNanos - nextReadNanos < 0) {
      return;
    }
    for (PendingOrder order : failedReads) {
      if (order.isReading()) {
        actions.add(
            order.holder == null
                ? new OrderAction.ReadClaim(order.key, order.attempt)
                : new OrderAction.ReadResult(order.key, order.attempt, order.holder.claim()));
      }
    }
    failedReads.clear();
  }

  private void flush(long nowNanos, List<OrderAction> actions) {
    long interval = settings.groupInterval().toNanos();
    while (!retries.isEmpty() && transactions.size() < settings.maxOpenGroups()) {
      commit(retries.remove(), actions);
    }
    if (!queue.isEmpty()
        && transactions.size() < settings.maxOpenGroups()
        && isDue(nextClaimNanos, nowNanos)) {
      nextClaimNanos = nowNanos + interval;
      commit(takeQueued(), actions);
    }
    if (results.isReady() && isDue(nextResultNanos, nowNanos)) {
      nextResultNanos = nowNanos + interval;
      actions.add(results.take(settings.maxGroupOrders()));
    }
  }

  private static boolean isDue(Long whenNanos, long nowNanos) {
    return whenNanos == null || nowNanos - whenNanos >= 0;
  }

  private List<PendingOrder> takeQueued() {
    List<PendingOrder> orders = new ArrayList<>();
    while (!queue.isEmpty() && orders.size() < settings.maxGroupOrders()) {
      orders.add(queue.remove());
    }
    return orders;
  }

  private void commit(List<PendingOrder> candidates, List<OrderAction> actions) {
    long transaction = nextTransaction;
    List<PendingOrder> orders = new ArrayList<>();
    List<OrderAction.ClaimWrite> writes = new ArrayList<>();
    for (PendingOrder order : candidates) {
      if (order.isAt(Step.QUEUED)) {
        order.group = order.group.isEmpty() ? process + "-" + transaction : order.group;
        order.step = Step.COMMITTING;
        order.unsettled++;
        orders.add(order);
        writes.add(order.toWrite());
      }
    }
    if (!orders.isEmpty()) {
      nextTransaction++;
      transactions.put(transaction, orders);
      actions.add(new OrderAction.CommitClaims(transaction, writes));
    }
  }

  private PendingOrder findReading(OrderKey key, String attempt) {
    PendingOrder order = pending.get(key);
    return order != null && order.attempt.equals(attempt) && order.isReading() ? order : null;
  }

  private PendingOrder findDispatched(OrderKey key, String attempt) {
    PendingOrder order = pending.get(key);
    boolean isFound = order != null && order.attempt.equals(attempt) && order.isAt(Step.DISPATCHED);
    return isFound ? order : null;
  }

  private static OrderReply toReply(OrderResult result) {
    return result.state() == State.FINISHED
        ? new OrderReply.Completed(result.status(), result.body())
        : new OrderReply.Unknown(true);
  }
}
