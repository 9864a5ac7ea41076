package io.fireflyshed.standins.platform;

import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Keeps rows in memory and acts out faults of the table service. Thread safe. */
public final class InMemoryTableService implements TableService {

  private static final String PEER = "table service";

  private final Map<RowKey, Row> rows = new HashMap<>();
  private StoreFault fault = StoreFault.NONE;
  private long nextVersion = 1;
  private long reads;
  private long writes;

  /**
   * Sets the fault to act out from now on. {@link StoreFault#SLOW} has no effect here, because this
   * class has no clock.
   *
   * @param fault the fault, not null
   */
  public synchronized void setFault(StoreFault fault) {
    this.fault = fault;
  }

  /**
   * Gets the number of reads and scans so far.
   *
   * @return the count
   */
  public synchronized long getReads() {
    return reads;
  }

  /**
   * Gets the number of commits so far.
   *
   * @return the count
   */
  public synchronized long getWrites() {
    return writes;
  }

  @Override
  public synchronized CompletableFuture<Optional<Row>> read(RowKey key) {
    reads++;
    if (fault == StoreFault.DOWN) {
      return newDown("read-table");
    }
    return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public synchronized CompletableFuture<List<Row>> scan(String table, String prefix) {
    reads++;
    if (fault == StoreFault.DOWN) {
      return newDown("scan-table");
    }
    return CompletableFuture.completedFuture(
        rows.values().stream()
            .filter(r -> r.key().table().equals(table) && r.key().key().startsWith(prefix))
            .sorted(Comparator.comparing(r -> r.key().key()))
            .toList());
  }

  @Override
  public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
    writes++;
    if (fault == StoreFault.DOWN) {
      return newDown("commit-table");
    }
    CommitResult result = apply(transaction);
    if (fault == StoreFault.LOST_ANSWER) {
      return CompletableFuture.failedFuture(new EffectUnknownException("commit-table", PEER, null));
    }
    return CompletableFuture.completedFuture(result);
  }

  private CommitResult apply(Transaction transaction) {
    List<RowKey> conflicts =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (!conflicts.isEmpty()) {
      return new CommitResult(false, conflicts);
    }
    for (Write write : transaction.writes()) {
      if (write.value().isPresent()) {
        rows.put(write.key(), new Row(write.key(), nextVersion++, write.value().get()));
      } else {
        rows.remove(write.key());
      }
    }
    return new CommitResult(true, List.of());
  }

  private boolean holds(Condition condition) {
    Row row = rows.get(condition.key());
    return condition.version() == (row == null ? Condition.ABSENT : row.version());
  }

  private static <T> CompletableFuture<T> newDown(String step) {
    return CompletableFuture.failedFuture(
        new NoEffectException(step, PEER, "the table service is down", null));
  }
}
