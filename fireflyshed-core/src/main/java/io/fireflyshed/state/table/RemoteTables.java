package io.fireflyshed.state.table;

import io.fireflyshed.state.peer.EntryPeer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Reads tables through other entries. Implementations are thread safe. */
public interface RemoteTables {

  /**
   * Has an entry read a table. The rows reflect a read of the table service that began after this
   * call.
   *
   * @param entry the entry to ask, not null
   * @param question the table and the rows that are wanted, not null
   * @param timeout the longest wait, not null
   * @return a future of the rows, which may be all of them even if only changes were asked for; it
   *     fails if the entry can't be reached in time or can't read the table
   */
  CompletableFuture<TableChanges> ask(EntryPeer entry, TableQuestion question, Duration timeout);
}
