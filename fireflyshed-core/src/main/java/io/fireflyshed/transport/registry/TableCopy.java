package io.fireflyshed.transport.registry;

import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the rows of a table that were read, so that only changes have to be read again. Results may
 * be applied out of order. Used on the control thread only.
 */
final class TableCopy {

  private final Map<RowKey, Row> rows = new HashMap<>();
  private long version;
  private long restoreCount;
  private boolean isRead;

  /** Tests whether all rows were read at least once. */
  boolean isRead() {
    return isRead;
  }

  long getVersion() {
    return version;
  }

  /** Tests whether a result can be applied to the rows. */
  boolean isApplicable(TableChanges changes) {
    return changes.isWhole() || isRead && changes.restoreCount() == restoreCount;
  }

  /** Applies a result, unless a later one was applied before. */
  void apply(TableChanges changes) {
    boolean isRestored = changes.restoreCount() != restoreCount;
    if (isRead && !isRestored && changes.version() < version) {
      return;
    }
    if (changes.isWhole()) {
      rows.clear();
      restoreCount = changes.restoreCount();
      isRead = true;
    }
    changes.updated().forEach(row -> rows.put(row.key(), row));
    rows.keySet().removeAll(changes.removed());
    version = changes.version();
  }

  /** Returns all rows. */
  TableChanges toWhole() {
    return new TableChanges(version, restoreCount, true, List.copyOf(rows.values()), Set.of());
  }
}
