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

/** Asks and tells peers about the configuration through a {@link PeerNode}. Thread safe. */
public final class NodeConfigurationPeers implements ConfigurationPeers, PeerQuestions.Responder {

  private static final int TELLERS = 2;

  private final PeerNode node;
  private volatile ConfigurationAgent agent;

  /**
   * Creates the peers of a node.
   *
   * @param node the node, not null
   */
  public NodeConfigurationPeers(PeerNode node) {
    this.node = Objects.requireNonNull(node, "node");
  }

  /**
   * Starts to answer peers and to take their notices.
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
    Optional<ConfigurationRecord> known = agent.getStatus().inForce();
    return node.getQuestions()
        .askConfiguration(peer, known.map(ConfigurationRecord::version).orElse(0L))
        .thenApply(answer -> PeerFrameUtils.fromAnswer(answer, known));
  }

  @Override
  public CompletableFuture<String> fetch(PeerId peer, ConfigurationRecord record) {
    Optional<String> held = agent.getText();
    PeerProto.TextQuestion.Builder question =
        PeerProto.TextQuestion.newBuilder().setDigest(record.digest());
    held.ifPresent(text -> question.setHeldDigest(ConfigurationStore.toDigest(text)));
    return node.getQuestions()
        .askText(peer, question.build())
        .thenApply(answer -> toText(peer, answer, held));
  }

  /**
   * Tells the zone, if this process is one of those that read the table service; the others learn
   * from these.
   */
  @Override
  public void tell(long version) {
    long before =
        getZonePeers().stream().filter(p -> p.compareTo(node.getSelf()) < 0).limit(TELLERS).count();
    if (before < TELLERS) {
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

  private static String toText(PeerId peer, PeerProto.TextAnswer answer, Optional<String> held) {
    if (!answer.getFound()) {
      throw new NoEffectException(
          "fetch-configuration", peer.value(), "the peer does not have the text", null);
    }
    return answer.getPatch()
        ? ConfigurationTexts.applyPatch(held.orElseThrow(), answer.getText())
        : answer.getText();
  }
}
