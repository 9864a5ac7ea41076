package io.fireflyshed.state.table;

import java.util.List;
import java.util.Set;

/**
 * The result of a read of a table.
 *
 * @param version the version of the table service up to which the result is complete
 * @param restoreCount how often the table service was restored from an older copy; versions of
 *     different counts are not comparable
 * @param isWhole whether the result lists all rows rather than only the changed ones
 * @param updated the rows that are listed, or were added or changed, copied, not null
 * @param removed the rows that were removed, copied, not null
 */
public record TableChanges(
    long version, long restoreCount, boolean isWhole, List<Row> updated, Set<RowKey> removed) {

  /** Copies the collections. */
  public TableChanges {
    updated = List.copyOf(updated);
    removed = Set.copyOf(removed);
  }
}
