package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.Row;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Converts questions about tables and their answers to frames and back. */
final class TableFrameUtils {

  private TableFrameUtils() {}

  static PeerProto.Frame toQuestion(long id, TableQuestion question) {
    PeerProto.TableQuestion.Builder body =
        PeerProto.TableQuestion.newBuilder()
            .setTable(question.table())
            .setVersion(question.version())
            .setIsWhole(question.isWhole());
    return PeerProto.Frame.newBuilder().setRequest(id).setTableQuestion(body).build();
  }

  static TableQuestion fromQuestion(PeerProto.TableQuestion message) {
    return new TableQuestion(message.getTable(), message.getVersion(), message.getIsWhole());
  }

  static PeerProto.Frame toAnswer(long id, TableChanges changes) {
    PeerProto.TableAnswer.Builder body =
        PeerProto.TableAnswer.newBuilder()
            .setIsRead(true)
            .setVersion(changes.version())
            .setRestoreCount(changes.restoreCount())
            .setIsWhole(changes.isWhole());
    for (Row row : changes.updated()) {
      body.addUpdated(
          PeerProto.TableRow.newBuilder()
              .setKey(row.key().key())
              .setVersion(row.version())
              .setValue(row.value()));
    }
    changes.removed().forEach(key -> body.addRemoved(key.key()));
    return PeerProto.Frame.newBuilder().setRequest(id).setTableAnswer(body).build();
  }

  static PeerProto.Frame toFailure(long id, boolean isHistoryLost) {
    return PeerProto.Frame.newBuilder()
        .setRequest(id)
        .setTableAnswer(PeerProto.TableAnswer.newBuilder().setIsHistoryLost(isHistoryLost))
        .build();
  }

  /**
   * Converts the answer of an entry.
   *
   * @throws HistoryLostException if the entry doesn't know all changes since the version
   * @throws NoEffectException if the entry could not read the table
   */
  static TableChanges fromAnswer(
      PeerId entry, TableQuestion question, PeerProto.TableAnswer message) {
    String table = question.table();
    if (message.getIsHistoryLost()) {
      throw new HistoryLostException("read-table", entry.value());
    }
    if (!message.getIsRead()) {
      throw new NoEffectException(
          "read-table", entry.value(), "the entry can't read the table " + table, null);
    }
    List<Row> updated =
        message.getUpdatedList().stream()
            .map(r -> new Row(new RowKey(table, r.getKey()), r.getVersion(), r.getValue()))
            .toList();
    Set<RowKey> removed =
        message.getRemovedList().stream()
            .map(key -> new RowKey(table, key))
            .collect(Collectors.toSet());
    return new TableChanges(
        message.getVersion(), message.getRestoreCount(), message.getIsWhole(), updated, removed);
  }
}
