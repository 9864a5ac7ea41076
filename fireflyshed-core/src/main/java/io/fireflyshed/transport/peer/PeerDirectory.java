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
 * Keeps the addresses of the entry processes in the table service, by which they find each other
 * first. Thread safe.
 *
 * <p>A process writes its row once. A row that a process left behind is removed by the peers that
 * have believed it dead for long.
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
   * Adds a process.
   *
   * @param record the process, not null
   * @return a future of the result
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
   * @param id the process, not null
   * @return a future of the result
   */
  public CompletableFuture<CommitResult> remove(PeerId id) {
    return commit(Write.ofDelete(toKey(id)));
  }

  /**
   * Reads all processes.
   *
   * @return a future of the processes
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
