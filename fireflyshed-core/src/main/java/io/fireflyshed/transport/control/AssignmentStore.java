package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.AssignmentChange;
import io.fireflyshed.coordination.assignment.VersionedAssignment;
import io.fireflyshed.protocol.platform.AssignmentCodec;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.Condition;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the assignments in the table service: one row for each replica and one for each instance
 * that a replica holds. Thread safe.
 *
 * <p>The row of a replica is kept after the replica is dissolved, so that its generation only ever
 * grows. Rows that have not changed since the previous read are not decoded again.
 */
public final class AssignmentStore {

  private static final String REPLICAS = "replicas";
  private static final String MEMBERS = "members";

  private final TableService table;
  private volatile Map<RowKey, VersionedAssignment> decodedRows = Map.of();

  /**
   * Creates a store.
   *
   * @param table the table service, not null
   */
  public AssignmentStore(TableService table) {
    this.table = table;
  }

  /**
   * Reads the replicas of all zones.
   *
   * @return a future of the replicas, including dissolved ones, with the versions of their rows
   */
  public CompletableFuture<List<VersionedAssignment>> read() {
    return table.scan(REPLICAS, "").thenApply(this::decode);
  }

  private List<VersionedAssignment> decode(List<Row> rows) {
    Map<RowKey, VersionedAssignment> previous = decodedRows;
    Map<RowKey, VersionedAssignment> updated = new HashMap<>();
    List<VersionedAssignment> result = new ArrayList<>();
    for (Row row : rows) {
      VersionedAssignment cached = previous.get(row.key());
      VersionedAssignment current =
          cached != null && cached.version() == row.version()
              ? cached
              : new VersionedAssignment(AssignmentCodec.fromStoredText(row.value()), row.version());
      updated.put(row.key(), current);
      result.add(current);
    }
    decodedRows = updated;
    return List.copyOf(result);
  }

  /**
   * Commits a change of a replica.
   *
   * @param zone the availability zone of the replica and its coordinator, not null
   * @param change the change, not null
   * @return a future of the result; a conflict means that the epoch row or the row of the replica
   *     has changed, or that another replica holds a claimed instance
   */
  public CompletableFuture<CommitResult> commit(AvailabilityZone zone, AssignmentChange change) {
    Assignment assignment = change.next().assignment();
    RowKey replica = new RowKey(REPLICAS, zone + "/" + assignment.id());
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    conditions.add(new Condition(LeaseStore.getEpochKey(zone), change.epochVersion()));
    conditions.add(new Condition(replica, change.expectedVersion()));
    writes.add(Write.ofPut(replica, AssignmentCodec.toText(change.next())));
    for (InstanceId instance : change.claimed()) {
      RowKey member = getMemberKey(instance);
      conditions.add(Condition.ofAbsent(member));
      writes.add(Write.ofPut(member, assignment.id().value()));
    }
    change.freed().forEach(i -> writes.add(Write.ofDelete(getMemberKey(i))));
    return table.commit(new Transaction(conditions, writes));
  }

  private static RowKey getMemberKey(InstanceId instance) {
    return new RowKey(MEMBERS, instance.value());
  }
}
