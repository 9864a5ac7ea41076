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
import io.fireflyshed.transport.log.LoggingScheduler;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.DigestUtils;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims each order in the table service before it sends the order, so that the order runs at most
 * once.
 *
 * <p>A single thread passes events to an {@link OrderLedger} and starts the requests to the table
 * service and to targets that the ledger decides on. Thread safe.
 */
public final class ClaimingOrderPlacer implements OrderPlacer, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ClaimingOrderPlacer.class);
  private static final long TICKS_PER_GROUP_INTERVAL = 4;
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
  private static final int DIGEST_HEX_DIGITS = 32;

  /** An order that a caller submitted and the future of its reply. */
  private record Submission(OrderRequest order, CompletableFuture<DeskReply> reply) {}

  private final TableService table;
  private final PlainService plainService;
  private final MonotonicClock clock;
  private final OrderLedger ledger;
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final ScheduledExecutorService executor = new LoggingScheduler("orders");
  private long nextSubmission = 1;
  private int nextTargetIndex;

  /**
   * Creates a placer and starts its thread.
   *
   * @param settings the settings of the ledger, not null
   * @param processId the id of this run of the process, which no other run may ever use, not null
   * @param table stores the claims and the results, not null
   * @param plainService sends orders to targets, not null
   * @param clock the clock of this process, not null
   */
  public ClaimingOrderPlacer(
      OrderSettings settings,
      String processId,
      TableService table,
      PlainService plainService,
      MonotonicClock clock) {
    this.table = table;
    this.plainService = plainService;
    this.clock = clock;
    this.ledger = new OrderLedger(settings, processId);
    long tickNanos = Math.max(1, settings.groupInterval().toNanos() / TICKS_PER_GROUP_INTERVAL);
    executor.scheduleAtFixedRate(
        () -> handle(() -> ledger.tick(clock.nanoTime())),
        tickNanos,
        tickNanos,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public CompletableFuture<DeskReply> place(OrderRequest order) {
    CompletableFuture<DeskReply> reply = new CompletableFuture<>();
    OrderKey key = new OrderKey(order.service(), order.account(), order.key());
    String digest = DigestUtils.sha256Hex(order.body()).substring(0, DIGEST_HEX_DIGITS);
    Submission submission = new Submission(order, reply);
    try {
      executor.execute(() -> handle(() -> submit(submission, key, digest)));
    } catch (RejectedExecutionException e) {
      reply.completeExceptionally(OrderProblems.newShuttingDown());
    }
    return reply;
  }

  /**
   * Counts the orders without a reply and the results that are not recorded.
   *
   * @return a future of the sum, 0 or more
   */
  public CompletableFuture<Integer> countOpen() {
    return CompletableFuture.supplyAsync(ledger::getOpen, executor);
  }

  /**
   * Waits until every order has a reply and every result is recorded.
   *
   * @param timeout the maximum wait, not null
   * @return a future of the number of orders and results that were still open at the end of the
   *     wait
   */
  public CompletableFuture<Integer> drain(Duration timeout) {
    long deadlineNanos = clock.nanoTime() + timeout.toNanos();
    CompletableFuture<Integer> drained = new CompletableFuture<>();
    executor.execute(() -> completeWhenDrained(deadlineNanos, drained));
    return drained;
  }

  private void completeWhenDrained(long deadlineNanos, CompletableFuture<Integer> drained) {
    if (ledger.getOpen() == 0 || clock.nanoTime() - deadlineNanos >= 0) {
      int open = ledger.getOpen();
      drained.completeAsync(() -> open);
    } else {
      Runnable recheck = () -> completeWhenDrained(deadlineNanos, drained);
      executor.schedule(recheck, DRAIN_POLL_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** Stops the thread. Orders without a reply fail with an unknown outcome. */
  @Override
  public void close() {
    try {
      executor.execute(this::failOpenOrders);
    } catch (RejectedExecutionException e) {
      LOG.debug("orders: placer is already closed");
    }
    executor.shutdown();
  }

  private void failOpenOrders() {
    submissions
        .values()
        .forEach(s -> s.reply().completeExceptionally(OrderProblems.newUnknown(false)));
    submissions.clear();
  }

  private List<OrderAction> submit(Submission submission, OrderKey key, String digest) {
    long number = nextSubmission++;
    submissions.put(number, submission);
    return ledger.submit(clock.nanoTime(), number, key, digest);
  }

  /** Handles an event on the executor; after close, the event is dropped. */
  private void post(Supplier<List<OrderAction>> event) {
    try {
      executor.execute(() -> handle(event));
    } catch (RejectedExecutionException e) {
      LOG.debug("orders: dropped an event that arrived after close");
    }
  }

  private void handle(Supplier<List<OrderAction>> event) {
    try {
      event.get().forEach(this::perform);
    } catch (RuntimeException e) {
      LOG.error("orders: unexpected error while handling an event", e);
    }
  }

  private void perform(OrderAction action) {
    if (action instanceof OrderAction.CommitClaims claims) {
      commitClaims(claims);
    } else if (action instanceof OrderAction.ReadClaim read) {
      readClaim(read);
    } else if (action instanceof OrderAction.ReadResult read) {
      readResult(read);
    } else if (action instanceof OrderAction.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (action instanceof OrderAction.CommitResults results) {
      start(() -> table.commit(OrderCodec.toTransaction(results)))
          .whenComplete(
              (result, error) ->
                  post(
                      () ->
                          ledger.onResultsEnded(
                              clock.nanoTime(), results.batch(), isCommitted(result))));
    } else if (action instanceof OrderAction.Answer answer) {
      reply(answer);
    }
  }

  private static boolean isCommitted(CommitResult result) {
    return result != null && result.isCommitted();
  }

  private void commitClaims(OrderAction.CommitClaims action) {
    start(() -> table.commit(OrderCodec.toTransaction(action)))
        .whenComplete((result, error) -> post(() -> handleClaimsCommit(action, result, error)));
  }

  private List<OrderAction> handleClaimsCommit(
      OrderAction.CommitClaims action, CommitResult result, Throwable error) {
    long now = clock.nanoTime();
    if (error != null) {
      LOG.info(
          "orders: the commit of {} claims is not confirmed: {}",
          action.claims().size(),
          error.getMessage());
      return unwrap(error) instanceof NoEffectException
          ? ledger.onClaimsRefused(now, action.transaction())
          : ledger.onClaimsUnknown(now, action.transaction());
    }
    if (result.isCommitted()) {
      return ledger.onClaimsCommitted(now, action.transaction());
    }
    Set<RowKey> conflictRows = Set.copyOf(result.conflicts());
    Set<OrderKey> conflicts =
        action.claims().stream()
            .map(write -> write.claim().key())
            .filter(key -> conflictRows.contains(OrderCodec.toRowKey(key)))
            .collect(Collectors.toSet());
    return ledger.onClaimsConflict(now, action.transaction(), conflicts);
  }

  private void readClaim(OrderAction.ReadClaim action) {
    OrderKey key = action.key();
    start(() -> table.read(OrderCodec.toRowKey(key)))
        .thenApply(row -> row.map(value -> OrderCodec.toClaim(key, value)))
        .whenComplete(
            (claim, error) ->
                post(
                    () ->
                        error == null
                            ? ledger.onClaimRead(clock.nanoTime(), key, action.attempt(), claim)
                            : ledger.onReadFailed(clock.nanoTime(), key, action.attempt())));
  }

  private void readResult(OrderAction.ReadResult action) {
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
    InstanceRecord target = targets.get(Math.floorMod(nextTargetIndex++, targets.size()));
    start(() -> plainService.order(target, order.key(), order.body()))
        .whenComplete((response, error) -> post(() -> handleDispatchEnd(action, response, error)));
  }

  private List<OrderAction> handleDispatchEnd(
      OrderAction.Dispatch action, DeskReply response, Throwable error) {
    long now = clock.nanoTime();
    if (error == null) {
      return ledger.onAnswered(
          now, action.key(), action.attempt(), response.status(), response.body());
    }
    Outcome outcome =
        unwrap(error) instanceof AttemptException attemptError
            ? attemptError.getOutcome()
            : Outcome.UNKNOWN;
    LOG.info(
        "orders: attempt {} failed with outcome {}: {}",
        action.attempt(),
        outcome,
        error.getMessage());
    return ledger.onBroken(now, action.key(), action.attempt(), outcome);
  }

  private void reply(OrderAction.Answer action) {
    Submission submission = submissions.remove(action.submission());
    if (submission == null) {
      return;
    }
    if (action.reply() instanceof OrderReply.Completed completed) {
      submission.reply().completeAsync(() -> new DeskReply(completed.status(), completed.body()));
    } else {
      RuntimeException problem = OrderProblems.toProblem(action.reply());
      CompletableFuture.runAsync(() -> submission.reply().completeExceptionally(problem));
    }
  }

  /**
   * Starts a request. An exception that it throws becomes a failed future, so that each action
   * leads to an event.
   */
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
