package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.order.OrderAction;
import io.fireflyshed.coordination.order.OrderKey;
import io.fireflyshed.coordination.order.OrderLedger;
import io.fireflyshed.coordination.order.OrderReply;
import io.fireflyshed.coordination.order.OrderSettings;
import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.desk.PlainService;
import io.fireflyshed.protocol.order.OrderCodec;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.DigestUtils;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims each order in the table service before it is sent, so that it runs at most once.
 *
 * <p>One thread runs the decisions of an {@link OrderLedger} and starts the requests to the store
 * and to targets that follow from them. Thread safe.
 */
public final class ClaimingOrderPlacer implements OrderPlacer, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ClaimingOrderPlacer.class);
  private static final long TICKS_PER_INTERVAL = 4;
  private static final Duration DRAIN_POLL = Duration.ofMillis(20);
  private static final int DIGEST_LENGTH = 32;

  /** An order of a caller and its future answer. */
  private record Submission(OrderRequest order, CompletableFuture<DeskReply> answer) {}

  private final TableService table;
  private final PlainService plainService;
  private final MonotonicClock clock;
  private final OrderLedger ledger;
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "orders"));
  private long nextSubmission = 1;
  private int nextTarget;

  /**
   * Creates a placer and starts its thread.
   *
   * @param settings the limits, not null
   * @param process identifies this run of the process; no other run may ever use it, not null
   * @param table keeps the claims and the results, not null
   * @param plainService talks to targets, not null
   * @param clock the clock of this process, not null
   */
  public ClaimingOrderPlacer(
      OrderSettings settings,
      String process,
      TableService table,
      PlainService plainService,
      MonotonicClock clock) {
    this.table = table;
    this.plainService = plainService;
    this.clock = clock;
    this.ledger = new OrderLedger(settings, process);
    long tickNanos = Math.max(1, settings.groupInterval().toNanos() / TICKS_PER_INTERVAL);
    thread.scheduleAtFixedRate(
        () -> run(() -> ledger.tick(clock.nanoTime())), tickNanos, tickNanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public CompletableFuture<DeskReply> place(OrderRequest order) {
    CompletableFuture<DeskReply> answer = new CompletableFuture<>();
    OrderKey key = new OrderKey(order.service(), order.account(), order.key());
    String digest = DigestUtils.sha256Hex(order.body()).substring(0, DIGEST_LENGTH);
    Submission submission = new Submission(order, answer);
    try {
      thread.execute(() -> run(() -> submit(submission, key, digest)));
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(OrderProblems.newClosing());
    }
    return answer;
  }

  /**
   * Gets the number of orders that were not answered or whose result is not recorded.
   *
   * @return a future of the count
   */
  public CompletableFuture<Integer> getOpen() {
    return CompletableFuture.supplyAsync(ledger::getOpen, thread);
  }

  /**
   * Waits until every order is answered and every result is recorded.
   *
   * @param timeout the longest wait, not null
   * @return a future of the number of orders that were still open at the end
   */
  public CompletableFuture<Integer> drain(Duration timeout) {
    long deadline = clock.nanoTime() + timeout.toNanos();
    CompletableFuture<Integer> drained = new CompletableFuture<>();
    thread.execute(() -> checkDrained(deadline, drained));
    return drained;
  }

  private void checkDrained(long deadlineNanos, CompletableFuture<Integer> drained) {
    if (ledger.getOpen() == 0 || clock.nanoTime() - deadlineNanos >= 0) {
      int open = ledger.getOpen();
      drained.completeAsync(() -> open);
    } else {
      Runnable again = () -> checkDrained(deadlineNanos, drained);
      thread.schedule(again, DRAIN_POLL.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** Stops the thread. Orders that are still open are answered as unknown. */
  @Override
  public void close() {
    try {
      thread.execute(this::abandon);
    } catch (RejectedExecutionException e) {
      LOG.debug("orders: already closed");
    }
    thread.shutdown();
  }

  private void abandon() {
    submissions
        .values()
        .forEach(s -> s.answer().completeExceptionally(OrderProblems.newUnknown(false)));
    submissions.clear();
  }

  private List<OrderAction> submit(Submission submission, OrderKey key, String digest) {
    long number = nextSubmission++;
    submissions.put(number, submission);
    return ledger.submit(clock.nanoTime(), number, key, digest);
  }

  /** Hands an event to the ledger on its thread; drops it if the placer is closed. */
  private void post(Supplier<List<OrderAction>> event) {
    try {
      thread.execute(() -> run(event));
    } catch (RejectedExecutionException e) {
      LOG.debug("orders: event after close dropped");
    }
  }

  private void run(Supplier<List<OrderAction>> event) {
    try {
      event.get().forEach(this::perform);
    } catch (RuntimeException e) {
      LOG.error("orders: unexpected error", e);
    }
  }

  private void perform(OrderAction action) {
    if (action instanceof OrderAction.CommitClaims a) {
      commit(a);
    } else if (action instanceof OrderAction.ReadClaim a) {
      read(a);
    } else if (action instanceof OrderAction.ReadResult a) {
      read(a);
    } else if (action instanceof OrderAction.Dispatch a) {
      dispatch(a);
    } else if (action instanceof OrderAction.CommitResults a) {
      start(() -> table.commit(OrderCodec.toTransaction(a)))
          .whenComplete(
              (result, error) ->
                  post(
                      () -> ledger.onResultsEnded(clock.nanoTime(), a.batch(), isApplied(result))));
    } else if (action instanceof OrderAction.Answer a) {
      answer(a);
    }
  }

  private static boolean isApplied(CommitResult result) {
    return result != null && result.isCommitted();
  }

  private void commit(OrderAction.CommitClaims action) {
    start(() -> table.commit(OrderCodec.toTransaction(action)))
        .whenComplete((result, error) -> post(() -> onCommit(action, result, error)));
  }

  private List<OrderAction> onCommit(
      OrderAction.CommitClaims action, CommitResult result, Throwable error) {
    long now = clock.nanoTime();
    if (error != null) {
      LOG.info("orders: {} claims not confirmed: {}", action.claims().size(), error.getMessage());
      return unwrap(error) instanceof NoEffectException
          ? ledger.onClaimsRefused(now, action.transaction())
          : ledger.onClaimsUnknown(now, action.transaction());
    }
    if (result.isCommitted()) {
      return ledger.onClaimsCommitted(now, action.transaction());
    }
    Set<RowKey> rows = Set.copyOf(result.conflicts());
    Set<OrderKey> conflicts =
        action.claims().stream()
            .map(w -> w.claim().key())
            .filter(k -> rows.contains(OrderCodec.toRowKey(k)))
            .collect(Collectors.toSet());
    return ledger.onClaimsConflict(now, action.transaction(), conflicts);
  }

  private void read(OrderAction.ReadClaim action) {
    OrderKey key = action.key();
    start(() -> table.read(OrderCodec.toRowKey(key)))
        .thenApply(row -> row.map(r -> OrderCodec.toClaim(key, r)))
        .whenComplete(
            (claim, error) ->
                post(
                    () ->
                        error == null
                            ? ledger.onClaimRead(clock.nanoTime(), key, action.attempt(), claim)
                            : ledger.onReadFailed(clock.nanoTime(), key, action.attempt())));
  }

  private void read(OrderAction.ReadResult action) {
    OrderKey key = action.key();
    String prefix = OrderCodec.toResultPrefix(action.holder().group());
    start(() -> table.scan(OrderCodec.RESULTS, prefix))
        .thenApply(rows -> OrderCodec.findResult(action.holder().attempt(), rows))
        .whenComplete(
            (result, error) ->
                post(
                    () ->
                        error == null
                            ? ledger.onResultRead(clock.nanoTime(), key, action.attempt(), result)
                            : ledger.onReadFailed(clock.nanoTime(), key, action.attempt())));
  }

  private void dispatch(OrderAction.Dispatch action) {
    OrderRequest order = submissions.get(action.submission()).order();
    List<InstanceRecord> targets = order.targets();
    InstanceRecord target = targets.get(Math.floorMod(nextTarget++, targets.size()));
    start(() -> plainService.order(target, order.key(), order.body()))
        .whenComplete((reply, error) -> post(() -> onDispatched(action, reply, error)));
  }

  private List<OrderAction> onDispatched(
      OrderAction.Dispatch action, DeskReply reply, Throwable error) {
    long now = clock.nanoTime();
    if (error == null) {
      return ledger.onAnswered(now, action.key(), action.attempt(), reply.status(), reply.body());
    }
    Outcome outcome =
        unwrap(error) instanceof AttemptException e ? e.getOutcome() : Outcome.UNKNOWN;
    LOG.info("orders: attempt {} ended {}: {}", action.attempt(), outcome, error.getMessage());
    return ledger.onBroken(now, action.key(), action.attempt(), outcome);
  }

  private void answer(OrderAction.Answer action) {
    Submission submission = submissions.remove(action.submission());
    if (submission == null) {
      return;
    }
    if (action.reply() instanceof OrderReply.Completed done) {
      submission.answer().completeAsync(() -> new DeskReply(done.status(), done.body()));
    } else {
      RuntimeException problem = OrderProblems.toProblem(action.reply());
      CompletableFuture.runAsync(() -> submission.answer().completeExceptionally(problem));
    }
  }

  /** Turns an error thrown by a request into a failed future, so that each action has its event. */
  private static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> request) {
    try {
      return request.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static Throwable unwrap(Throwable error) {
    boolean isWrapped = error instanceof CompletionException && error.getCause() != null;
    return isWrapped ? error.getCause() : error;
  }
}
