package io.fireflyshed.state.table;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Reads whole tables of the table service and follows their changes. */
public interface TableFeed {

  /**
   * Reads all rows of a table.
   *
   * @param table the table, not null
   * @return a future of a result that lists all rows
   */
  CompletableFuture<TableChanges> readAll(String table);

  /**
   * Waits for changes after a version.
   *
   * @param table the table, not null
   * @param version the version of an earlier result
   * @param maxWait the longest wait, after which the result has no changes, not null
   * @return a future of the changes; it fails with a {@link
   *     io.fireflyshed.state.error.HistoryLostException} if they are no longer kept
   */
  CompletableFuture<TableChanges> awaitChanges(String table, long version, Duration maxWait);
}
