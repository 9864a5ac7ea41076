package io.fireflyshed.transport.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.coordination.membership.MemberState;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.CommitResult;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the addresses of the entry processes in the table service, through which processes find
 * their first peers. Thread safe.
 *
 * <p>A process writes its own row, and removes it when it leaves. The row of a process that died is
 * removed by a peer that has seen it die.
 */
public final class PeerDirectory {

  private static final String TABLE = "entries";

  private final TableService table;

  /**
   * Creates a directory.
   *
   * @param table the table service, not null
   */
  public PeerDirectory(TableService table) {
    this.table = Objects.requireNonNull(table, "table");
  }

  /**
   * Adds a process or replaces its row.
   *
   * @param record the record of the process, not null
   * @return a future of the result of the transaction
   */
  public CompletableFuture<CommitResult> add(MemberRecord record) {
    String text =
        JsonUtils.toText(
            JsonUtils.getMapper()
                .createObjectNode()
                .put("address", record.address())
                .put("zone", record.zone().value()));
    return commit(Write.ofPut(toKey(record.id()), text));
  }

  /**
   * Removes a process.
   *
   * @param id the id of the process, not null
   * @return a future of the result of the transaction
   */
  public CompletableFuture<CommitResult> remove(PeerId id) {
    return commit(Write.ofDelete(toKey(id)));
  }

  /**
   * Reads all processes.
   *
   * @return a future of the records of the processes, all of them in the state {@link
   *     MemberState#ALIVE} at incarnation 1
   */
  public CompletableFuture<List<MemberRecord>> read() {
    return table
        .scan(TABLE, "")
        .thenApply(rows -> rows.stream().map(r -> toRecord(r.key().key(), r.value())).toList());
  }

  private CompletableFuture<CommitResult> commit(Write write) {
    return table.commit(new Transaction(List.of(), List.of(write)));
  }

  private static RowKey toKey(PeerId id) {
    return new RowKey(TABLE, id.value());
  }

  private static MemberRecord toRecord(String id, String text) {
    JsonNode node = JsonUtils.parse(text);
    return new MemberRecord(
        new PeerId(id),
        node.path("address").asText(),
        new AvailabilityZone(node.path("zone").asText()),
        1,
        MemberState.ALIVE);
  }
}
