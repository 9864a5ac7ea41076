package io.fireflyshed.state.table;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param isCommitted whether all writes were applied
 * @param conflicts the rows whose conditions did not hold, empty if the transaction was committed,
 *     copied, not null
 */
public record CommitResult(boolean isCommitted, List<RowKey> conflicts) {

  /** Copies the list. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
