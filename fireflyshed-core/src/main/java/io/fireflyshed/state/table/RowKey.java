package io.fireflyshed.state.table;

import java.util.Objects;

/**
 * Names a row of the table service.
 *
 * @param table the table, not null or empty
 * @param key the key within the table, not null or empty
 */
public record RowKey(String table, String key) {

  /** Checks that both parts are present. */
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
