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

/** Carries the messages of one process, late, lost or not at all. */
final class FakeNetwork implements TableService {

  static final long FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final long ORDER_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
  private static final long USUAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final VirtualTime time;
  private final InMemoryTableService table;
  private final UniformRandomProvider random;

  /** Whether messages to the store get lost. */
  boolean isStoreCut;

  /** Whether the store applies commits and their answers get lost. */
  boolean isAnswerLost;

  /** Whether messages to and from engines get lost. */
  boolean isEngineCut;

  /** Whether messages take up to the longest flight. */
  boolean isSlow;

  /** How much longer the next order is held back by a pause of its sender, 0 for none. */
  long nextOrderDelayNanos;

  FakeNetwork(VirtualTime time, InMemoryTableService table, UniformRandomProvider random) {
    this.time = time;
    this.table = table;
    this.random = random;
  }

  long nextFlight() {
    return random.nextLong(isSlow ? FLIGHT_NANOS : USUAL_NANOS) + 1;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return call(() -> table.read(key), false);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix) {
    return call(() -> table.scan(name, prefix), false);
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    return call(() -> table.commit(transaction), isAnswerLost);
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> request, boolean isLost) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    boolean isCut = isStoreCut;
    failLater(answer, () -> new EffectUnknownException("call", "store", null));
    if (!isCut) {
      time.after(
          nextFlight(),
          () -> {
            CompletableFuture<T> result = request.get();
            if (!isLost) {
              time.after(nextFlight(), () -> copy(result, answer));
            }
          });
    }
    return answer;
  }

  CompletableFuture<MemberHealth> probe(FakeEngine engine) {
    CompletableFuture<MemberHealth> answer = new CompletableFuture<>();
    failLater(answer, () -> new NoEffectException("call", "engine", "no answer", null));
    if (!isEngineCut) {
      time.after(
          nextFlight(),
          () -> {
            if (engine.isAnswering()) {
              MemberHealth health = engine.getHealth();
              time.after(nextFlight(), () -> answer.complete(health));
            }
          });
    }
    return answer;
  }

  CompletableFuture<Void> order(FakeEngine engine, EngineOrder order) {
    CompletableFuture<Void> answer = new CompletableFuture<>();
    failLater(answer, () -> new NoEffectException("call", "engine", "no answer", null));
    long held = nextOrderDelayNanos;
    nextOrderDelayNanos = 0;
    if (!isEngineCut) {
      long working = isSlow ? random.nextLong(ORDER_DEADLINE_NANOS) : 0;
      time.after(held + nextFlight() + working, () -> arrive(engine, order, held > 0, answer));
    }
    return answer;
  }

  private void arrive(
      FakeEngine engine, EngineOrder order, boolean isLate, CompletableFuture<Void> answer) {
    if (engine.isAnswering() && engine.order(order, isLate)) {
      time.after(nextFlight(), () -> answer.complete(null));
    }
  }

  private void failLater(CompletableFuture<?> answer, Supplier<RuntimeException> error) {
    time.after(
        TIMEOUT_NANOS,
        () -> {
          if (!answer.isDone()) {
            answer.completeExceptionally(error.get());
          }
        });
  }

  private static <T> void copy(CompletableFuture<T> from, CompletableFuture<T> to) {
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
