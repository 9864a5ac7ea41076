package io.fireflyshed.state.table;

import java.util.List;

/**
 * Groups conditions and writes that the table service applies together or not at all.
 *
 * @param conditions the conditions, copied, not null
 * @param writes the writes, copied, not null
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

  /** Copies both lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }
}
