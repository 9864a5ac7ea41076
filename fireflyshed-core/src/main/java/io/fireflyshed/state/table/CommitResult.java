package io.fireflyshed.state.table;

import java.util.List;

/**
 * Tells how a transaction ended.
 *
 * @param isCommitted whether all writes were applied
 * @param conflicts the rows whose conditions did not hold; empty if committed
 */
public record CommitResult(boolean isCommitted, List<RowKey> conflicts) {

  /** Copies the list. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
