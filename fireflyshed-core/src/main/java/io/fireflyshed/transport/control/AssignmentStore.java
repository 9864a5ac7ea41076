package io.fireflyshed.transport.control;

import io.fireflyshed.protocol.platform.AssignmentCodec;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps assignments in the table service. Thread safe.
 *
 * <p>Each assignment has one row, and so has each assigned instance. A transaction that creates an
 * assignment requires that none of these rows exists, so no instance is in two replicas.
 */
public final class AssignmentStore {

  private static final String REPLICAS = "replicas";
  private static final String MEMBERS = "members";

  private final TableService table;

  /**
   * Creates a store.
   *
   * @param table the table service, not null
   */
  public AssignmentStore(TableService table) {
    this.table = table;
  }

  /**
   * Reads all assignments.
   *
   * @return a future of the assignments
   */
  public CompletableFuture<List<Assignment>> read() {
    return table
        .scan(REPLICAS, "")
        .thenApply(rows -> rows.stream().map(r -> AssignmentCodec.fromText(r.value())).toList());
  }

  /**
   * Creates an assignment unless the replica or one of the members is taken.
   *
   * @param assignment the assignment, not null
   * @return a future of the result of the transaction
   */
  public CompletableFuture<CommitResult> create(Assignment assignment) {
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    RowKey replica = new RowKey(REPLICAS, assignment.id().value());
    conditions.add(Condition.ofAbsent(replica));
    writes.add(Write.ofPut(replica, AssignmentCodec.toText(assignment)));
    for (InstanceRecord member : assignment.members()) {
      RowKey key = new RowKey(MEMBERS, member.id().value());
      conditions.add(Condition.ofAbsent(key));
      writes.add(Write.ofPut(key, assignment.id().value()));
    }
    return table.commit(new Transaction(conditions, writes));
  }
}
