package io.fireflyshed.state.table;

import java.util.Objects;

/**
 * The version that a row must have for a transaction to commit.
 *
 * @param key the row, not null
 * @param version the required version, or {@link #ABSENT} if the row must not exist
 */
public record Condition(RowKey key, long version) {

  /** The version of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Validates the components. */
  public Condition {
    Objects.requireNonNull(key, "key");
    if (version < ABSENT) {
      throw new IllegalArgumentException("version must not be negative: " + version);
    }
  }

  /**
   * Creates the condition that a row does not exist.
   *
   * @param key the row, not null
   * @return the condition, never null
   */
  public static Condition ofAbsent(RowKey key) {
    return new Condition(key, ABSENT);
  }
}
