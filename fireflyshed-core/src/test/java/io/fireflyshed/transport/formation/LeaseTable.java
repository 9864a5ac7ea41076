package io.fireflyshed.transport.formation;

import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.ScannedRows;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Keeps the rows of the lease, and can be restored from an older copy. */
final class LeaseTable implements TableService {

  /** The rows at a time. */
  record Copy(Map<RowKey, Row> rows, long version) {}

  private final Map<RowKey, Row> rows = new HashMap<>();
  private long version;
  private long restoreCount;

  Copy copy() {
    return new Copy(Map.copyOf(rows), version);
  }

  /** Loses all writes since a copy; their versions are given out again. */
  void restore(Copy copy) {
    rows.clear();
    rows.putAll(copy.rows());
    version = copy.version();
    restoreCount++;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix) {
    return CompletableFuture.completedFuture(List.copyOf(rows.values()));
  }

  @Override
  public CompletableFuture<ScannedRows> scanWithRestoreCount(String table, String prefix) {
    return scan(table, prefix).thenApply(scanned -> new ScannedRows(scanned, restoreCount));
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    boolean isHeld =
        transaction.conditions().stream()
            .allMatch(
                c ->
                    c.version()
                        == Optional.ofNullable(rows.get(c.key())).map(Row::version).orElse(0L));
    if (isHeld) {
      version++;
      transaction
          .writes()
          .forEach(w -> rows.put(w.key(), new Row(w.key(), version, w.value().orElseThrow())));
    }
    return CompletableFuture.completedFuture(new CommitResult(isHeld, List.of(), restoreCount));
  }
}
