package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.error.EffectUnknownException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.LongFunction;

/** Asks another entry a question, once. Used on the thread of the connections only. */
final class QuestionCall implements LinkCall {

  private static final String STEP = "ask";

  private final RelayLink link;
  private final LongFunction<PeerProto.Frame> question;
  private final PeerProto.Frame.BodyCase answerCase;
  private final CompletableFuture<PeerProto.Frame> answer;
  private final long startNanos;
  private final long id;
  private Future<?> timer;

  /**
   * Creates a call on a link.
   *
   * @param link the link, not null
   * @param question creates the frame of the question with the id of the call, not null
   * @param answerCase the kind of frame that answers it, not null
   * @param answer is completed with the answer, not null
   * @param startNanos the current time of the monotonic clock
   */
  QuestionCall(
      RelayLink link,
      LongFunction<PeerProto.Frame> question,
      PeerProto.Frame.BodyCase answerCase,
      CompletableFuture<PeerProto.Frame> answer,
      long startNanos) {
    this.link = link;
    this.question = question;
    this.answerCase = answerCase;
    this.answer = answer;
    this.startNanos = startNanos;
    this.id = link.add(this);
  }

  long getStartNanos() {
    return startNanos;
  }

  RelayLink getLink() {
    return link;
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
    if (PeerChannelHandler.areQuestionsSupported(link.getChannel())) {
      link.write(question.apply(id));
    } else {
      end();
      fail("doesn't answer questions");
    }
  }

  @Override
  public void onFrame(PeerProto.Frame frame) {
    if (frame.getBodyCase() == answerCase) {
      end();
      answer.complete(frame);
    }
  }

  @Override
  public void onLinkLost(String reason) {
    timer.cancel(false);
    fail(reason);
  }

  void onTimeout() {
    end();
    fail("did not answer in time");
  }

  private void end() {
    link.remove(id);
    timer.cancel(false);
  }

  private void fail(String reason) {
    answer.completeExceptionally(
        new EffectUnknownException(
            STEP, link.getPeer().id().value(), new IOException("the entry " + reason)));
  }
}
