package io.fireflyshed.state.table;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param isCommitted whether all writes were applied
 * @param conflicts the rows whose conditions did not hold, empty if the transaction was committed,
 *     copied, not null
 * @param restoreCount how often the table service was restored from an older copy when it
 *     responded, 0 if it never loses writes
 */
public record CommitResult(boolean isCommitted, List<RowKey> conflicts, long restoreCount) {

  /**
   * Creates a result of a table service that never loses writes.
   *
   * @param isCommitted whether all writes were applied
   * @param conflicts the rows whose conditions did not hold, not null
   */
  public CommitResult(boolean isCommitted, List<RowKey> conflicts) {
    this(isCommitted, conflicts, 0);
  }

  /** Copies the list. */
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }
}
