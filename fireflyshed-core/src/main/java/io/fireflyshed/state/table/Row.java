package io.fireflyshed.state.table;

import java.util.Objects;

/**
 * A row as it was read from the table service.
 *
 * @param key the key of the row, not null
 * @param version the version that the table service gave to the last write, 1 or more
 * @param value the text of the row, not null
 */
public record Row(RowKey key, long version, String value) {

  /** Validates the components. */
  public Row {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
  }
}
