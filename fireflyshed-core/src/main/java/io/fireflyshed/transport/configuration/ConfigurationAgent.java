package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.ConfigurationFollower;
import io.fireflyshed.coordination.configuration.FollowerAction;
import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the chain of configurations and puts each newer version in force.
 *
 * <p>All state but the published status belongs to the thread of the executor. {@link #getStatus()}
 * and {@link #getText()} are thread safe.
 */
public final class ConfigurationAgent {

  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationAgent.class);

  private final ConfigurationFollower follower;
  private final ConfigurationStore store;
  private final ConfigurationPeers peers;
  private final MonotonicClock clock;
  private final Executor executor;
  private final BiConsumer<ConfigurationRecord, String> receiver;
  private volatile ConfigurationStatus status = ConfigurationStatus.ofNothing();
  private final ConfigurationTexts texts = new ConfigurationTexts();
  private volatile Optional<String> text = Optional.empty();

  /**
   * Creates an agent that does nothing until the first tick.
   *
   * @param follower decides, not null
   * @param store the stores, not null
   * @param peers the peers, not null
   * @param clock the clock of this process, not null
   * @param executor runs everything on one thread, not null
   * @param receiver puts a version and its text in force, not null
   */
  public ConfigurationAgent(
      ConfigurationFollower follower,
      ConfigurationStore store,
      ConfigurationPeers peers,
      MonotonicClock clock,
      Executor executor,
      BiConsumer<ConfigurationRecord, String> receiver) {
    this.follower = Objects.requireNonNull(follower, "follower");
    this.store = Objects.requireNonNull(store, "store");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.executor = Objects.requireNonNull(executor, "executor");
    this.receiver = Objects.requireNonNull(receiver, "receiver");
  }

  /** Takes a regular tick; must run on the executor. */
  public void tick() {
    perform(follower.onTick(peers.getZonePeers(), peers.getRemotePeers(), clock.nanoTime()));
    publish();
  }

  /**
   * Takes a peer's word that it has a version in force.
   *
   * @param peer the peer, not null
   * @param version the version, 1 or more
   */
  public void onNotice(PeerId peer, long version) {
    executor.execute(() -> perform(follower.onNotice(peer, version)));
  }

  /**
   * Answers a peer's question.
   *
   * @return a future of the answer
   */
  public CompletableFuture<PeerAnswer> answer() {
    return CompletableFuture.supplyAsync(() -> follower.answer(clock.nanoTime()), executor);
  }

  /**
   * Gets what is in force here.
   *
   * @return the status as it was published last, never null
   */
  public ConfigurationStatus getStatus() {
    return status;
  }

  /**
   * Tests whether the lease holds now.
   *
   * @return false if this process may be behind
   */
  public boolean isCurrent() {
    ConfigurationStatus seen = status;
    return seen.isCurrent(clock.nanoTime());
  }

  /**
   * Gets the text in force.
   *
   * @return the text, or empty if none is in force, never null
   */
  public Optional<String> getText() {
    return text;
  }

  /**
   * Gets the last texts that were in force.
   *
   * @return the texts, never null
   */
  public ConfigurationTexts getTexts() {
    return texts;
  }

  private void perform(List<FollowerAction> actions) {
    actions.forEach(this::perform);
  }

  private void perform(FollowerAction action) {
    if (action instanceof FollowerAction.ReadHead) {
      readHead();
    } else if (action instanceof FollowerAction.AskPeer ask) {
      askPeer(ask.peer());
    } else if (action instanceof FollowerAction.FetchBody fetch) {
      fetch(fetch.record(), fetch.source());
    }
  }

  private void readHead() {
    long sentNanos = clock.nanoTime();
    store.readHead().whenCompleteAsync((head, error) -> onHead(head, error, sentNanos), executor);
  }

  private void onHead(Optional<ConfigurationHead> head, Throwable error, long sentNanos) {
    if (error != null) {
      LOG.debug("configuration: reading the head failed: {}", error.getMessage());
      return;
    }
    perform(follower.onHead(head.map(ConfigurationHead::record), sentNanos));
    publish();
  }

  private void askPeer(PeerId peer) {
    long askedNanos = clock.nanoTime();
    peers
        .ask(peer)
        .whenCompleteAsync(
            (answer, error) -> {
              if (error == null) {
                perform(follower.onAnswer(peer, answer, askedNanos));
                publish();
              }
            },
            executor);
  }

  private void fetch(ConfigurationRecord record, Optional<PeerId> source) {
    CompletableFuture<String> answer =
        source.isPresent() ? peers.fetch(source.get(), record) : store.readBody(record);
    answer.whenCompleteAsync((found, error) -> onBody(record, found, error), executor);
  }

  private void onBody(ConfigurationRecord record, String found, Throwable error) {
    if (error != null || !ConfigurationStore.toDigest(found).equals(record.digest())) {
      LOG.warn("configuration: text of version {} not fetched", record.version());
      follower.onFetchFailed();
      return;
    }
    List<FollowerAction> actions = follower.onBody(record);
    if (follower.getInForce().equals(Optional.of(record))) {
      putInForce(record, found);
    }
    perform(actions);
    publish();
  }

  private void putInForce(ConfigurationRecord record, String found) {
    texts.add(found);
    text = Optional.of(found);
    try {
      receiver.accept(record, found);
    } catch (IllegalArgumentException e) {
      LOG.error("configuration: version {} can't be used", record.version(), e);
    }
    LOG.info("configuration: version {} by {} in force", record.version(), record.author());
    peers.tell(record.version());
  }

  private void publish() {
    long now = clock.nanoTime();
    Optional<ConfigurationRecord> inForce = follower.getInForce();
    boolean isSame = status.inForce().equals(inForce);
    long since = isSame ? status.sinceNanos() : now;
    status = new ConfigurationStatus(inForce, since, follower.getLeaseEndNanos());
  }
}
