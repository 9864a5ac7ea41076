package io.fireflyshed.transport.peer;

import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.error.EffectUnknownException;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.peer.PeerId;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** Sends questions to peers and answers the questions of peers. Thread safe. */
public final class PeerQuestions {

  private static final int MAX_PENDING_QUESTIONS = 1_024;
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

  /** Answers the questions of peers. If a future fails, no answer is sent. */
  public interface Responder {

    /**
     * Answers which configuration version is in force.
     *
     * @param knownVersion the version that the peer has in force, 0 if none
     * @return a future of the answer
     */
    CompletableFuture<PeerProto.ConfigurationAnswer> answerConfiguration(long knownVersion);

    /**
     * Answers with the text of a configuration, or with a patch.
     *
     * @param question the question, not null
     * @return a future of the answer
     */
    CompletableFuture<PeerProto.TextAnswer> answerText(PeerProto.TextQuestion question);
  }

  private final PeerConnections connections;
  private final Function<PeerId, Optional<InetSocketAddress>> addressLookup;
  private final Map<Long, CompletableFuture<PeerProto.Frame>> pendingAnswers =
      new ConcurrentHashMap<>();
  private final AtomicLong nextRequestId = new AtomicLong(1);
  private volatile Responder responder;

  PeerQuestions(
      PeerConnections connections, Function<PeerId, Optional<InetSocketAddress>> addressLookup) {
    this.connections = connections;
    this.addressLookup = addressLookup;
  }

  /**
   * Sets the responder, which answers the questions of peers. Without one, no answers are sent.
   *
   * @param responder the responder, not null
   */
  public void setResponder(Responder responder) {
    this.responder = Objects.requireNonNull(responder, "responder");
  }

  /**
   * Asks a peer which configuration version it has in force.
   *
   * @param peer the peer, not null
   * @param knownVersion the version that this process has in force, 0 if none
   * @return a future of the answer, which fails if none arrives within a second
   */
  public CompletableFuture<PeerProto.ConfigurationAnswer> askConfiguration(
      PeerId peer, long knownVersion) {
    PeerProto.Frame.Builder frame =
        PeerProto.Frame.newBuilder()
            .setConfigurationQuestion(
                PeerProto.ConfigurationQuestion.newBuilder().setVersion(knownVersion));
    return ask(peer, frame).thenApply(PeerProto.Frame::getConfigurationAnswer);
  }

  /**
   * Asks a peer for the text of a configuration.
   *
   * @param peer the peer, not null
   * @param question the question, not null
   * @return a future of the answer, which fails if none arrives within a second
   */
  public CompletableFuture<PeerProto.TextAnswer> askText(
      PeerId peer, PeerProto.TextQuestion question) {
    PeerProto.Frame.Builder frame = PeerProto.Frame.newBuilder().setTextQuestion(question);
    return ask(peer, frame).thenApply(PeerProto.Frame::getTextAnswer);
  }

  /** Handles a frame that is a question or an answer, and returns false for any other frame. */
  boolean onFrame(PeerProto.Frame frame, Channel channel) {
    Responder currentResponder = responder;
    switch (frame.getBodyCase()) {
      case CONFIGURATION_QUESTION -> {
        if (currentResponder != null) {
          currentResponder
              .answerConfiguration(frame.getConfigurationQuestion().getVersion())
              .thenAccept(a -> sendAnswer(channel, newAnswer(frame).setConfigurationAnswer(a)));
        }
        return true;
      }
      case TEXT_QUESTION -> {
        if (currentResponder != null) {
          currentResponder
              .answerText(frame.getTextQuestion())
              .thenAccept(a -> sendAnswer(channel, newAnswer(frame).setTextAnswer(a)));
        }
        return true;
      }
      case CONFIGURATION_ANSWER, TEXT_ANSWER -> {
        CompletableFuture<PeerProto.Frame> future = pendingAnswers.remove(frame.getRequest());
        if (future != null) {
          future.complete(frame);
        }
        return true;
      }
      default -> {
        return false;
      }
    }
  }

  private CompletableFuture<PeerProto.Frame> ask(PeerId peer, PeerProto.Frame.Builder frame) {
    Optional<InetSocketAddress> address = addressLookup.apply(peer);
    if (address.isEmpty() || pendingAnswers.size() >= MAX_PENDING_QUESTIONS) {
      return CompletableFuture.failedFuture(
          new NoEffectException(
              "ask-peer",
              peer.value(),
              "the address of the peer is unknown or too many questions are unanswered",
              null));
    }
    long requestId = nextRequestId.getAndIncrement();
    CompletableFuture<PeerProto.Frame> future = new CompletableFuture<>();
    pendingAnswers.put(requestId, future);
    connections.send(peer, address.get(), frame.setRequest(requestId).build());
    return future
        .orTimeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .handle(
            (answer, error) -> {
              pendingAnswers.remove(requestId);
              if (error != null) {
                throw new EffectUnknownException("ask-peer", peer.value(), error);
              }
              return answer;
            });
  }

  private static PeerProto.Frame.Builder newAnswer(PeerProto.Frame question) {
    return PeerProto.Frame.newBuilder().setRequest(question.getRequest());
  }

  private void sendAnswer(Channel channel, PeerProto.Frame.Builder answer) {
    connections.write(channel, answer.build());
  }
}
