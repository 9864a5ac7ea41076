package io.fireflyshed.state.table;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service.
 *
 * <p>Futures fail with {@link io.fireflyshed.state.error.NoEffectException} if the request
 * certainly took no effect and with {@link io.fireflyshed.state.error.EffectUnknownException} if it
 * may have taken effect.
 */
public interface TableService {

  /**
   * Reads one row.
   *
   * @param key the row, not null
   * @return a future of the row, or of empty if it does not exist
   */
  CompletableFuture<Optional<Row>> read(RowKey key);

  /**
   * Reads the rows of a table whose keys start with a prefix, in the order of their keys.
   *
   * @param table the table, not null
   * @param prefix the prefix, may be empty, not null
   * @return a future of the rows, which may be empty
   */
  CompletableFuture<List<Row>> scan(String table, String prefix);

  /**
   * Reads the rows of a table whose keys start with a prefix, and how often the table service was
   * restored. The default implementation suits a table service that never loses writes.
   *
   * @param table the table, not null
   * @param prefix the prefix, may be empty, not null
   * @return a future of the rows with the restore count
   */
  default CompletableFuture<ScannedRows> scanWithRestoreCount(String table, String prefix) {
    return scan(table, prefix).thenApply(rows -> new ScannedRows(rows, 0));
  }

  /**
   * Applies a transaction.
   *
   * @param transaction the transaction, not null
   * @return a future of the result
   */
  CompletableFuture<CommitResult> commit(Transaction transaction);
}
