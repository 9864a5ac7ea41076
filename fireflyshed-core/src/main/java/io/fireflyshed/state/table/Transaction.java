package io.fireflyshed.state.table;

import java.util.List;

/**
 * A group of writes that the table service applies atomically, provided that all conditions hold.
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
