package io.fireflyshed.bench.order;

import io.fireflyshed.bench.EventQueue;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Acts as a table service that applies a limited number of writes a second, one after another. */
final class LimitedStore {

  /** Names what the store counts as a write. */
  enum Unit {
    TRANSACTION,
    ROW
  }

  private static final long SECOND = 1_000_000_000L;
  private static final long LATENCY = 5_000_000L;
  private static final long TIMEOUT = 3 * SECOND;

  private final EventQueue events;
  private final long writeNanos;
  private final Unit unit;
  private final Map<RowKey, Row> rows = new HashMap<>();
  private long freeNanos;
  private long nextVersion = 1;
  private long transactions;
  private long writtenRows;
  private long writtenBytes;

  LimitedStore(EventQueue events, int writesPerSecond, Unit unit) {
    this.events = events;
    this.writeNanos = SECOND / writesPerSecond;
    this.unit = unit;
  }

  /** Commits; the answer is empty if it was lost to a timeout. */
  void commit(Transaction transaction, Consumer<Optional<CommitResult>> answer) {
    int rowCount = transaction.writes().size();
    transactions++;
    writtenRows += rowCount;
    transaction.writes().forEach(w -> writtenBytes += countBytes(w));
    long cost = unit == Unit.ROW ? writeNanos * rowCount : writeNanos;
    freeNanos = Math.max(freeNanos, events.getNow()) + cost;
    long done = freeNanos + LATENCY;
    boolean isLate = done - events.getNow() > TIMEOUT;
    events.at(
        freeNanos,
        () -> {
          CommitResult result = apply(transaction);
          if (!isLate) {
            events.at(done, () -> answer.accept(Optional.of(result)));
          }
        });
    if (isLate) {
      events.after(TIMEOUT, () -> answer.accept(Optional.empty()));
    }
  }

  void read(RowKey key, Consumer<Optional<Row>> answer) {
    events.after(LATENCY, () -> answer.accept(Optional.ofNullable(rows.get(key))));
  }

  void scan(String table, String prefix, Consumer<List<Row>> answer) {
    events.after(
        LATENCY,
        () ->
            answer.accept(
                rows.values().stream()
                    .filter(r -> r.key().table().equals(table))
                    .filter(r -> r.key().key().startsWith(prefix))
                    .toList()));
  }

  long getTransactions() {
    return transactions;
  }

  long getWrittenRows() {
    return writtenRows;
  }

  long getWrittenBytes() {
    return writtenBytes;
  }

  private CommitResult apply(Transaction transaction) {
    List<RowKey> conflicts =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (conflicts.isEmpty()) {
      for (Write write : transaction.writes()) {
        rows.put(write.key(), new Row(write.key(), nextVersion++, write.value().orElseThrow()));
      }
    }
    return new CommitResult(conflicts.isEmpty(), conflicts);
  }

  private boolean holds(Condition condition) {
    Row row = rows.get(condition.key());
    return condition.version() == (row == null ? Condition.ABSENT : row.version());
  }

  private static long countBytes(Write write) {
    String text = write.key() + write.value().orElse("");
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
