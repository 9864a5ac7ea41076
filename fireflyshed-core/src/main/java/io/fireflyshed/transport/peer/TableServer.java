package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Answers the questions of other entries about tables. */
final class TableServer {

  /** Limits the questions that wait for an answer; each entry asks one for each table. */
  private static final int MAX_PENDING = 4096;

  private final PeerConnections connections;
  private final Function<TableQuestion, CompletableFuture<TableChanges>> answerer;
  private final EventLog log;
  private int pending;

  TableServer(
      PeerConnections connections,
      Function<TableQuestion, CompletableFuture<TableChanges>> answerer,
      EventLog log) {
    this.connections = connections;
    this.answerer = answerer;
    this.log = log;
  }

  /** Answers a question. Used on the thread of the connections only. */
  void onQuestion(long id, PeerProto.TableQuestion message, Channel channel) {
    if (pending >= MAX_PENDING) {
      connections.writeOrClose(channel, TableFrameUtils.toFailure(id));
      return;
    }
    pending++;
    answerer
        .apply(TableFrameUtils.fromQuestion(message))
        .handle((changes, error) -> newAnswer(id, changes, error))
        .whenCompleteAsync((frame, error) -> send(channel, frame), connections.getExecutor());
  }

  private PeerProto.Frame newAnswer(long id, TableChanges changes, Throwable error) {
    if (error != null) {
      log.info("question not answered", "error", error.getMessage());
      return TableFrameUtils.toFailure(id);
    }
    PeerProto.Frame frame = TableFrameUtils.toAnswer(id, changes);
    return frame.getSerializedSize() <= PeerFrameDecoder.MAX_FRAME_BYTES
        ? frame
        : TableFrameUtils.toFailure(id);
  }

  private void send(Channel channel, PeerProto.Frame frame) {
    pending--;
    if (channel.isActive()) {
      connections.writeOrClose(channel, frame);
    }
  }
}
