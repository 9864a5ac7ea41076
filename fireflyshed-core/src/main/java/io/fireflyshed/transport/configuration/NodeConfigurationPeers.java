package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.protocol.peer.PeerFrameUtils;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.transport.peer.PeerNode;
import io.fireflyshed.transport.peer.PeerQuestions;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Asks and notifies peers through a {@link PeerNode}, and answers their questions. Thread safe. */
public final class NodeConfigurationPeers implements ConfigurationPeers, PeerQuestions.Responder {

  private static final int NOTIFIERS_PER_ZONE = 2;

  private final PeerNode node;
  private volatile ConfigurationAgent agent;

  /**
   * Creates an instance, which must be connected to an agent before it is used.
   *
   * @param node the node, not null
   */
  public NodeConfigurationPeers(PeerNode node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  /**
   * Starts to answer the questions of peers and to pass their notices to the agent.
   *
   * @param agent the agent of this process, not null
   */
  public void connect(ConfigurationAgent agent) {
    this.agent = Objects.requireNonNull(agent, "agent");
    node.getQuestions().setResponder(this);
    node.subscribe(
        notice -> {
          if (notice instanceof PeerNotice.ConfigurationInForce inForce) {
            agent.onNotice(inForce.sender(), inForce.version());
          }
        });
  }

  @Override
  public List<PeerId> getZonePeers() {
    return node.getZonePeers();
  }

  @Override
  public List<PeerId> getRemotePeers() {
    return node.getRemotePeers();
  }

  @Override
  public CompletableFuture<PeerAnswer> ask(PeerId peer) {
    Optional<ConfigurationRecord> ownVersion = agent.getStatus().inForce();
    return node.getQuestions()
        .askConfiguration(peer, ownVersion.map(ConfigurationRecord::version).orElse(0L))
        .thenApply(answer -> PeerFrameUtils.fromAnswer(answer, ownVersion));
  }

  @Override
  public CompletableFuture<String> fetchText(PeerId peer, ConfigurationRecord record) {
    Optional<String> heldText = agent.getText();
    PeerProto.TextQuestion.Builder question =
        PeerProto.TextQuestion.newBuilder().setDigest(record.digest());
    heldText.ifPresent(text -> question.setHeldDigest(ConfigurationStore.toDigest(text)));
    return node.getQuestions()
        .askText(peer, question.build())
        .thenApply(answer -> toText(peer, answer, heldText));
  }

  /**
   * Notifies the peers of the zone if this process is one of those that read the table service. The
   * other processes learn of new versions from these.
   */
  @Override
  public void notifyInForce(long version) {
    long precedingPeers =
        getZonePeers().stream()
            .filter(p -> p.compareTo(node.getSelf()) < 0)
            .limit(NOTIFIERS_PER_ZONE)
            .count();
    if (precedingPeers < NOTIFIERS_PER_ZONE) {
      node.publishToZone(new PeerNotice.ConfigurationInForce(node.getSelf(), version));
    }
  }

  @Override
  public CompletableFuture<PeerProto.ConfigurationAnswer> answerConfiguration(long knownVersion) {
    return agent.answer().thenApply(a -> PeerFrameUtils.toAnswer(a, knownVersion));
  }

  @Override
  public CompletableFuture<PeerProto.TextAnswer> answerText(PeerProto.TextQuestion question) {
    ConfigurationTexts texts = agent.getTexts();
    PeerProto.TextAnswer.Builder answer = PeerProto.TextAnswer.newBuilder();
    Optional<String> patch = texts.findPatch(question.getHeldDigest(), question.getDigest());
    if (patch.isPresent()) {
      answer.setFound(true).setPatch(true).setText(patch.get());
    } else {
      texts.find(question.getDigest()).ifPresent(t -> answer.setFound(true).setText(t));
    }
    return CompletableFuture.completedFuture(answer.build());
  }

  private static String toText(
      PeerId peer, PeerProto.TextAnswer answer, Optional<String> heldText) {
    if (!answer.getFound()) {
      throw new NoEffectException(
          "fetch-configuration", peer.value(), "the peer does not have the text", null);
    }
    return answer.getPatch()
        ? ConfigurationTexts.applyPatch(heldText.orElseThrow(), answer.getText())
        : answer.getText();
  }
}
