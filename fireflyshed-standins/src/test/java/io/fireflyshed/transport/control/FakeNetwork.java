package io.fireflyshed.transport.control;

import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The simulated network of one process, which delays messages and drops them while a fault is
 * active.
 */
final class FakeNetwork implements TableService {

  static final long MAX_MESSAGE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final long ORDER_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private static final long MAX_NORMAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final VirtualTime time;
  private final InMemoryTableService table;
  private final UniformRandomProvider random;

  /** Whether messages to the table service are dropped. */
  boolean isStoreUnreachable;

  /** Whether the table service applies commits and the responses are dropped. */
  boolean isCommitResponseLost;

  /** Whether messages to engines are dropped. */
  boolean areEnginesUnreachable;

  /** Whether messages take up to the maximum delay, and orders up to their deadline. */
  boolean isSlow;

  /** By how much a pause of the sender delays the next order, 0 for no pause. */
  long nextOrderDelayNanos;

  FakeNetwork(VirtualTime time, InMemoryTableService table, UniformRandomProvider random) {
    this.time = time;
    this.table = table;
    this.random = random;
  }

  long drawDelayNanos() {
    return random.nextLong(isSlow ? MAX_MESSAGE_DELAY_NANOS : MAX_NORMAL_DELAY_NANOS) + 1;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return call(() -> table.read(key), false);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String tableName, String prefix) {
    return call(() -> table.scan(tableName, prefix), false);
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    return call(() -> table.commit(transaction), isCommitResponseLost);
  }

  private <T> CompletableFuture<T> call(
      Supplier<CompletableFuture<T>> request, boolean isResponseLost) {
    CompletableFuture<T> response = new CompletableFuture<>();
    boolean isUnreachable = isStoreUnreachable;
    scheduleTimeout(response, () -> new EffectUnknownException("call", "store", null));
    if (!isUnreachable) {
      time.schedule(
          drawDelayNanos(),
          () -> {
            CompletableFuture<T> result = request.get();
            if (!isResponseLost) {
              time.schedule(drawDelayNanos(), () -> copyResult(result, response));
            }
          });
    }
    return response;
  }

  CompletableFuture<MemberHealth> probe(FakeEngine engine) {
    CompletableFuture<MemberHealth> response = new CompletableFuture<>();
    scheduleTimeout(response, () -> new NoEffectException("call", "engine", "no response", null));
    if (!areEnginesUnreachable) {
      time.schedule(
          drawDelayNanos(),
          () -> {
            if (engine.isAnswering()) {
              MemberHealth health = engine.getHealth();
              time.schedule(drawDelayNanos(), () -> response.complete(health));
            }
          });
    }
    return response;
  }

  CompletableFuture<Void> order(FakeEngine engine, EngineOrder order) {
    CompletableFuture<Void> response = new CompletableFuture<>();
    scheduleTimeout(response, () -> new NoEffectException("call", "engine", "no response", null));
    long pauseNanos = nextOrderDelayNanos;
    nextOrderDelayNanos = 0;
    if (!areEnginesUnreachable) {
      long processingNanos = isSlow ? random.nextLong(ORDER_DEADLINE_NANOS) : 0;
      time.schedule(
          pauseNanos + drawDelayNanos() + processingNanos,
          () -> deliverOrder(engine, order, pauseNanos > 0, response));
    }
    return response;
  }

  private void deliverOrder(
      FakeEngine engine, EngineOrder order, boolean isLate, CompletableFuture<Void> response) {
    if (engine.isAnswering() && engine.handleOrder(order, isLate)) {
      time.schedule(drawDelayNanos(), () -> response.complete(null));
    }
  }

  private void scheduleTimeout(CompletableFuture<?> response, Supplier<RuntimeException> error) {
    time.schedule(
        RESPONSE_TIMEOUT_NANOS,
        () -> {
          if (!response.isDone()) {
            response.completeExceptionally(error.get());
          }
        });
  }

  private static <T> void copyResult(CompletableFuture<T> from, CompletableFuture<T> to) {
    from.whenComplete(
        (value, error) -> {
          if (error == null) {
            to.complete(value);
          } else {
            to.completeExceptionally(error);
          }
        });
  }
}
