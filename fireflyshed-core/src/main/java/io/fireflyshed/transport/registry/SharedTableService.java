package io.fireflyshed.transport.registry;

import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.ScannedRows;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableFeed;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Scans tables through a feed that several processes share, and passes all other calls on to the
 * table service. Thread safe if the feed is.
 */
public final class SharedTableService implements TableService {

  private final TableService table;
  private final TableFeed feed;

  /**
   * Creates a service.
   *
   * @param table the table service, not null
   * @param feed reads the tables that are scanned, not null
   */
  public SharedTableService(TableService table, TableFeed feed) {
    this.table = Objects.requireNonNull(table, "table");
    this.feed = Objects.requireNonNull(feed, "feed");
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return table.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix) {
    return scanWithRestoreCount(name, prefix).thenApply(ScannedRows::rows);
  }

  @Override
  public CompletableFuture<ScannedRows> scanWithRestoreCount(String name, String prefix) {
    return feed.readAll(name).thenApply(changes -> toScannedRows(changes, prefix));
  }

  private static ScannedRows toScannedRows(TableChanges changes, String prefix) {
    List<Row> rows =
        changes.updated().stream().filter(row -> row.key().key().startsWith(prefix)).toList();
    return new ScannedRows(rows, changes.restoreCount());
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    return table.commit(transaction);
  }
}
