package io.fireflyshed.state.table;

import java.util.Objects;

/**
 * Identifies a row of the table service.
 *
 * @param table the table, not null or empty
 * @param key the key within the table, not null or empty
 */
public record RowKey(String table, String key) {

  /** Validates the components. */
  public RowKey {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(key, "key");
    if (table.isEmpty() || key.isEmpty()) {
      throw new IllegalArgumentException("table and key must not be empty");
    }
  }

  @Override
  public String toString() {
    return table + "/" + key;
  }
}
