package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Asks another entry for rows of a table once. Used on the thread of the connections only. */
final class TableCall implements LinkCall {

  private static final String STEP = "ask-table";

  private final RelayLink link;
  private final TableQuestion question;
  private final CompletableFuture<TableChanges> answer;
  private final long id;
  private Future<?> timer;

  TableCall(RelayLink link, TableQuestion question, CompletableFuture<TableChanges> answer) {
    this.link = link;
    this.question = question;
    this.answer = answer;
    this.id = link.add(this);
  }

  void setTimer(Future<?> newTimer) {
    timer = newTimer;
  }

  @Override
  public boolean isSent() {
    return false;
  }

  @Override
  public void onLinkReady() {
    if (PeerChannelHandler.isTableSupported(link.getChannel())) {
      link.write(TableFrameUtils.toQuestion(id, question));
    } else {
      link.remove(id);
      fail("doesn't answer questions");
    }
  }

  @Override
  public void onFrame(PeerProto.Frame frame) {
    if (frame.getBodyCase() != PeerProto.Frame.BodyCase.TABLE_ANSWER) {
      return;
    }
    link.remove(id);
    timer.cancel(false);
    if (frame.getTableAnswer().getIsRead()) {
      answer.complete(TableFrameUtils.fromAnswer(question.table(), frame.getTableAnswer()));
    } else {
      fail("can't read the table");
    }
  }

  @Override
  public void onLinkLost(String reason) {
    timer.cancel(false);
    fail(reason);
  }

  void onTimeout() {
    link.remove(id);
    fail("did not answer in time");
  }

  private void fail(String reason) {
    answer.completeExceptionally(
        new EffectUnknownException(
            STEP, link.getPeer().id().value(), new IOException("the entry " + reason)));
  }
}
