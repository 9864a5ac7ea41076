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
 * Follows the configuration history and puts each newer version in force. Carries out the actions
 * of a {@link ConfigurationFollower}.
 *
 * <p>The follower is confined to the thread of the executor, and {@link #tick()} must be called on
 * that thread. All other public methods are thread safe.
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
   * Creates an agent, which is idle until the first tick.
   *
   * @param follower decides what to do, not null
   * @param store the store of the configuration history, not null
   * @param peers the peers to ask and to notify, not null
   * @param clock the monotonic clock of this process, not null
   * @param executor runs all work on a single thread, not null
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

  /** Performs the periodic work. Must be called on the thread of the executor. */
  public void tick() {
    perform(follower.onTick(peers.getZonePeers(), peers.getRemotePeers(), clock.nanoTime()));
    publishStatus();
  }

  /**
   * Handles the notice of a peer that it has put a version in force.
   *
   * @param peer the peer, not null
   * @param version the version, 1 or more
   */
  public void onNotice(PeerId peer, long version) {
    executor.execute(() -> perform(follower.onNotice(peer, version)));
  }

  /**
   * Answers the question of a peer which version this process has in force.
   *
   * @return a future of the answer
   */
  public CompletableFuture<PeerAnswer> answer() {
    return CompletableFuture.supplyAsync(() -> follower.answer(clock.nanoTime()), executor);
  }

  /**
   * Returns the version that this process has in force and the end of its lease.
   *
   * @return the status that was published last, never null
   */
  public ConfigurationStatus getStatus() {
    return status;
  }

  /**
   * Tests whether the lease is valid now.
   *
   * @return false if this process may be behind
   */
  public boolean isCurrent() {
    ConfigurationStatus seen = status;
    return seen.isCurrent(clock.nanoTime());
  }

  /**
   * Returns the text of the version in force.
   *
   * @return the text, or empty if no version is in force, never null
   */
  public Optional<String> getText() {
    return text;
  }

  /**
   * Returns the cache of the texts that were in force most recently.
   *
   * @return the cache, never null
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
      fetchText(fetch.record(), fetch.source());
    }
  }

  private void readHead() {
    long sentNanos = clock.nanoTime();
    store.readHead().whenCompleteAsync((head, error) -> onHead(head, error, sentNanos), executor);
  }

  private void onHead(Optional<ConfigurationHead> head, Throwable error, long sentNanos) {
    if (error != null) {
      LOG.debug("configuration: failed to read the head of the history: {}", error.getMessage());
      return;
    }
    perform(follower.onHead(head.map(ConfigurationHead::record), sentNanos));
    publishStatus();
  }

  private void askPeer(PeerId peer) {
    long askedNanos = clock.nanoTime();
    peers
        .ask(peer)
        .whenCompleteAsync(
            (answer, error) -> {
              if (error == null) {
                perform(follower.onAnswer(peer, answer, askedNanos));
                publishStatus();
              }
            },
            executor);
  }

  private void fetchText(ConfigurationRecord record, Optional<PeerId> source) {
    CompletableFuture<String> fetched =
        source.isPresent() ? peers.fetchText(source.get(), record) : store.readBody(record);
    fetched.whenCompleteAsync(
        (fetchedText, error) -> onTextFetched(record, fetchedText, error), executor);
  }

  private void onTextFetched(ConfigurationRecord record, String fetchedText, Throwable error) {
    if (error != null || !ConfigurationStore.toDigest(fetchedText).equals(record.digest())) {
      LOG.warn(
          "configuration: fetching the text of version {} failed or returned another text",
          record.version());
      follower.onFetchFailed();
      return;
    }
    List<FollowerAction> actions = follower.onBody(record);
    if (follower.getInForce().equals(Optional.of(record))) {
      putInForce(record, fetchedText);
    }
    perform(actions);
    publishStatus();
  }

  private void putInForce(ConfigurationRecord record, String fetchedText) {
    texts.add(fetchedText);
    text = Optional.of(fetchedText);
    try {
      receiver.accept(record, fetchedText);
    } catch (IllegalArgumentException e) {
      LOG.error("configuration: failed to apply version {}", record.version(), e);
    }
    LOG.info("configuration: version {} by {} in force", record.version(), record.author());
    peers.notifyInForce(record.version());
  }

  private void publishStatus() {
    long now = clock.nanoTime();
    Optional<ConfigurationRecord> inForce = follower.getInForce();
    boolean isUnchanged = status.inForce().equals(inForce);
    long sinceNanos = isUnchanged ? status.sinceNanos() : now;
    status = new ConfigurationStatus(inForce, sinceNanos, follower.getLeaseEndNanos());
  }
}
