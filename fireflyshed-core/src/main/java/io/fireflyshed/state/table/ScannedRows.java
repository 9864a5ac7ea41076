package io.fireflyshed.state.table;

import java.util.List;

/**
 * Rows that were read together.
 *
 * @param rows the rows in the order of their keys, copied, not null
 * @param restoreCount how often the table service was restored from an older copy when it
 *     responded, 0 if it never loses writes
 */
public record ScannedRows(List<Row> rows, long restoreCount) {

  /** Copies the list. */
  public ScannedRows {
    rows = List.copyOf(rows);
  }
}
