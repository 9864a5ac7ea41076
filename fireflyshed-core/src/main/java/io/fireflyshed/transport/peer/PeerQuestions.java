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

/** Puts questions to peers and answers theirs. Thread safe. */
public final class PeerQuestions {

  private static final int MAX_PENDING = 1_024;
  private static final long TIMEOUT_MILLIS = 1_000;

  /** Answers questions; a future that fails sends no answer. */
  public interface Responder {

    /**
     * Answers what is in force.
     *
     * @param knownVersion the version that the asker has in force, 0 if none
     * @return a future of the answer
     */
    CompletableFuture<PeerProto.ConfigurationAnswer> answerConfiguration(long knownVersion);

    /**
     * Answers with a text.
     *
     * @param question the question, not null
     * @return a future of the answer
     */
    CompletableFuture<PeerProto.TextAnswer> answerText(PeerProto.TextQuestion question);
  }

  private final PeerConnections connections;
  private final Function<PeerId, Optional<InetSocketAddress>> addresses;
  private final Map<Long, CompletableFuture<PeerProto.Frame>> pending = new ConcurrentHashMap<>();
  private final AtomicLong nextRequest = new AtomicLong(1);
  private volatile Responder responder;

  PeerQuestions(
      PeerConnections connections, Function<PeerId, Optional<InetSocketAddress>> addresses) {
    this.connections = connections;
    this.addresses = addresses;
  }

  /**
   * Sets who answers the questions of peers.
   *
   * @param responder answers, not null
   */
  public void setResponder(Responder responder) {
    this.responder = Objects.requireNonNull(responder, "responder");
  }

  /**
   * Asks a peer what it has in force.
   *
   * @param peer the peer, not null
   * @param knownVersion the version in force here, 0 if none
   * @return a future of the answer, which fails after a second
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
   * Asks a peer for a text.
   *
   * @param peer the peer, not null
   * @param question the question, not null
   * @return a future of the answer, which fails after a second
   */
  public CompletableFuture<PeerProto.TextAnswer> askText(
      PeerId peer, PeerProto.TextQuestion question) {
    PeerProto.Frame.Builder frame = PeerProto.Frame.newBuilder().setTextQuestion(question);
    return ask(peer, frame).thenApply(PeerProto.Frame::getTextAnswer);
  }

  /** Takes a frame; returns false if it is neither a question nor an answer. */
  boolean onFrame(PeerProto.Frame frame, Channel channel) {
    Responder answering = responder;
    switch (frame.getBodyCase()) {
      case CONFIGURATION_QUESTION -> {
        if (answering != null) {
          answering
              .answerConfiguration(frame.getConfigurationQuestion().getVersion())
              .thenAccept(a -> reply(channel, newReply(frame).setConfigurationAnswer(a)));
        }
        return true;
      }
      case TEXT_QUESTION -> {
        if (answering != null) {
          answering
              .answerText(frame.getTextQuestion())
              .thenAccept(a -> reply(channel, newReply(frame).setTextAnswer(a)));
        }
        return true;
      }
      case CONFIGURATION_ANSWER, TEXT_ANSWER -> {
        CompletableFuture<PeerProto.Frame> future = pending.remove(frame.getRequest());
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
    Optional<InetSocketAddress> address = addresses.apply(peer);
    if (address.isEmpty() || pending.size() >= MAX_PENDING) {
      return CompletableFuture.failedFuture(
          new NoEffectException("ask-peer", peer.value(), "the peer can't be asked", null));
    }
    long request = nextRequest.getAndIncrement();
    CompletableFuture<PeerProto.Frame> future = new CompletableFuture<>();
    pending.put(request, future);
    connections.send(peer, address.get(), frame.setRequest(request).build());
    return future
        .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .handle(
            (answer, error) -> {
              pending.remove(request);
              if (error != null) {
                throw new EffectUnknownException("ask-peer", peer.value(), error);
              }
              return answer;
            });
  }

  private static PeerProto.Frame.Builder newReply(PeerProto.Frame question) {
    return PeerProto.Frame.newBuilder().setRequest(question.getRequest());
  }

  private void reply(Channel channel, PeerProto.Frame.Builder reply) {
    connections.write(channel, reply.build());
  }
}
