package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.poison.CrashReportCodec;
import io.fireflyshed.state.error.HistoryLostException;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;

/** Answers the questions of other entries. Used on the thread of the connections only. */
final class QuestionServer {

  /** Limits the questions that wait for an answer; each entry asks a few at a time. */
  private static final int MAX_PENDING = 4096;

  private final PeerConnections connections;
  private final EntryServices services;
  private final EventLog log;
  private int pending;

  QuestionServer(PeerConnections connections, EntryServices services, EventLog log) {
    this.connections = connections;
    this.services = services;
    this.log = log;
  }

  /** Answers a frame if it is a question. */
  void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {
    long id = frame.getRequest();
    switch (frame.getBodyCase()) {
      case TABLE_QUESTION -> answer(channel, answerTable(id, frame.getTableQuestion()));
      case LOAD_QUESTION ->
          answer(
              channel,
              services
                  .loads()
                  .apply(LoadFrameUtils.fromQuestion(peer, frame.getLoadQuestion()))
                  .thenApply(load -> LoadFrameUtils.toAnswer(id, load)));
      case CRASH_NOTICE -> {
        services.crashes().accept(CrashReportCodec.decode(frame.getCrashNotice().getReport()));
        connections.writeOrClose(channel, newCrashAck(id));
      }
      default -> {
        // Other frames are no questions.
      }
    }
  }

  private static PeerProto.Frame newCrashAck(long id) {
    return PeerProto.Frame.newBuilder()
        .setRequest(id)
        .setCrashAck(PeerProto.CrashAck.getDefaultInstance())
        .build();
  }

  private CompletableFuture<PeerProto.Frame> answerTable(
      long id, PeerProto.TableQuestion question) {
    if (pending >= MAX_PENDING) {
      return CompletableFuture.completedFuture(TableFrameUtils.toFailure(id, false));
    }
    return services
        .tables()
        .apply(TableFrameUtils.fromQuestion(question))
        .handle((changes, error) -> newTableAnswer(id, changes, error));
  }

  private PeerProto.Frame newTableAnswer(long id, TableChanges changes, Throwable error) {
    if (error != null) {
      boolean isHistoryLost = HistoryLostException.isIn(error);
      if (!isHistoryLost) {
        log.info("question not answered", "error", error.getMessage());
      }
      return TableFrameUtils.toFailure(id, isHistoryLost);
    }
    PeerProto.Frame frame = TableFrameUtils.toAnswer(id, changes);
    return frame.getSerializedSize() <= PeerFrameDecoder.MAX_FRAME_BYTES
        ? frame
        : TableFrameUtils.toFailure(id, false);
  }

  private void answer(Channel channel, CompletableFuture<PeerProto.Frame> answer) {
    pending++;
    answer.whenCompleteAsync((frame, error) -> send(channel, frame), connections.getExecutor());
  }

  /** Sends an answer; a question without one times out at the entry that asked. */
  private void send(Channel channel, PeerProto.Frame frame) {
    pending--;
    if (frame != null && channel.isActive()) {
      connections.writeOrClose(channel, frame);
    }
  }
}
