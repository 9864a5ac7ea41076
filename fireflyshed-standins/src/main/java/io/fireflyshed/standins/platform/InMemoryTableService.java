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

/**
 * Implements the table service in memory, with faults that can be injected. Thread safe.
 *
 * <p>All futures that it returns are already completed.
 */
public final class InMemoryTableService implements TableService {

  private static final String PEER = "table service";

  private final Map<RowKey, Row> rows = new HashMap<>();
  private StoreFault fault = StoreFault.NONE;
  private long nextVersion = 1;
  private long reads;
  private long writes;

  /**
   * Injects a fault into all later requests. {@link StoreFault#SLOW} has no effect, because this
   * class has no clock.
   *
   * @param fault the fault, or {@link StoreFault#NONE} to end the current one, not null
   */
  public synchronized void setFault(StoreFault fault) {
    this.fault = fault;
  }

  /**
   * Gets the number of reads and scans received, including failed ones.
   *
   * @return the count
   */
  public synchronized long getReads() {
    return reads;
  }

  /**
   * Gets the number of commits received, including failed and rejected ones.
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
      return newUnavailableFuture("read-table");
    }
    return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public synchronized CompletableFuture<List<Row>> scan(String table, String prefix) {
    reads++;
    if (fault == StoreFault.DOWN) {
      return newUnavailableFuture("scan-table");
    }
    return CompletableFuture.completedFuture(
        rows.values().stream()
            .filter(row -> row.key().table().equals(table) && row.key().key().startsWith(prefix))
            .sorted(Comparator.comparing(row -> row.key().key()))
            .toList());
  }

  @Override
  public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
    writes++;
    if (fault == StoreFault.DOWN) {
      return newUnavailableFuture("commit-table");
    }
    CommitResult result = apply(transaction);
    if (fault == StoreFault.LOST_ANSWER) {
      return CompletableFuture.failedFuture(new EffectUnknownException("commit-table", PEER, null));
    }
    return CompletableFuture.completedFuture(result);
  }

  private CommitResult apply(Transaction transaction) {
    List<RowKey> conflicts =
        transaction.conditions().stream().filter(c -> !isMet(c)).map(Condition::key).toList();
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

  private boolean isMet(Condition condition) {
    Row row = rows.get(condition.key());
    return condition.version() == (row == null ? Condition.ABSENT : row.version());
  }

  private static <T> CompletableFuture<T> newUnavailableFuture(String step) {
    return CompletableFuture.failedFuture(
        new NoEffectException(step, PEER, "the table service is down", null));
  }
}
