package io.fireflyshed.state.table;

import java.util.Objects;
import java.util.Optional;

/**
 * A write of a transaction.
 *
 * @param key the row, not null
 * @param value the new text, or empty to delete the row, not null
 */
public record Write(RowKey key, Optional<String> value) {

  /** Validates the components. */
  public Write {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
  }

  /**
   * Creates a write that sets a row.
   *
   * @param key the row, not null
   * @param value the new text, not null
   * @return the write, never null
   */
  public static Write ofPut(RowKey key, String value) {
    return new Write(key, Optional.of(value));
  }

  /**
   * Creates a write that deletes a row.
   *
   * @param key the row, not null
   * @return the write, never null
   */
  public static Write ofDelete(RowKey key) {
    return new Write(key, Optional.empty());
  }
}
