package io.fireflyshed.state.table;

import java.util.Objects;

/**
 * Asks another entry for rows of a table.
 *
 * @param table the table, not null
 * @param version the version up to which the asking entry knows the table, ignored if it wants all
 *     rows
 * @param isWhole whether the asking entry wants all rows rather than those that changed
 */
public record TableQuestion(String table, long version, boolean isWhole) {

  /** Validates the components. */
  public TableQuestion {
    Objects.requireNonNull(table, "table");
  }
}
