package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides which configuration version one process has in force, and whether the process may be
 * behind. Not thread safe.
 *
 * <p>The process holds a lease: evidence that the version in force was the newest accepted one,
 * dated to the moment before the read was sent. Once the lease length has passed without new
 * evidence, the process knows that it may be behind. Evidence comes from the table service, or from
 * the answer of a peer, dated back by the age that the answer states; the clocks of two processes
 * are never compared.
 *
 * <p>Two processes of each zone read the table service. The others ask one of them once a third of
 * their lease has passed.
 */
public final class ConfigurationFollower {

  private static final int READERS_PER_ZONE = 2;
  private static final int MAX_DEFERRED_EVIDENCE = 16;
  private static final int ASK_LEASE_DIVISOR = 3;

  /** An age that a peer states is increased by one part in this number, as clocks may drift. */
  private static final long DRIFT_DIVISOR = 1_000;

  private final PeerId self;
  private final FollowerSettings settings;
  private final UniformRandomProvider random;
  private final long startNanos;

  private Set<PeerId> awaitedPeers;
  private boolean isStarted;
  private ConfigurationRecord inForce;
  private ConfigurationRecord newest;
  private Optional<PeerId> newestSource = Optional.empty();
  private boolean isFetching;
  private OptionalLong evidenceNanos = OptionalLong.empty();
  private final NavigableMap<Long, Long> deferredEvidenceNanos = new TreeMap<>();

  /**
   * Creates a follower without a version in force.
   *
   * @param self this process, not null
   * @param settings the settings, not null
   * @param random the source of randomness, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public ConfigurationFollower(
      PeerId self, FollowerSettings settings, UniformRandomProvider random, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    this.startNanos = nowNanos;
  }

  /**
   * Returns the version in force.
   *
   * @return the version, or empty if there is none, never null
   */
  public Optional<ConfigurationRecord> getInForce() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Tests whether the lease is valid, which means that every version accepted more than a lease
   * length ago is in force here. If the lease is valid and no version is in force, no version was
   * accepted before that time.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return false if the process may be behind
   */
  public boolean isCurrent(long nowNanos) {
    return hasEvidenceWithin(nowNanos, settings.leaseLength().toNanos());
  }

  /**
   * Returns the end of the lease.
   *
   * @return the reading of the monotonic clock from which on the process may be behind, or empty if
   *     it never had a lease, never null
   */
  public OptionalLong getLeaseEndNanos() {
    return evidenceNanos.isPresent()
        ? OptionalLong.of(evidenceNanos.getAsLong() + settings.leaseLength().toNanos())
        : OptionalLong.empty();
  }

  /**
   * Creates the answer to the question of a peer.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return the answer, never null
   */
  public PeerAnswer answer(long nowNanos) {
    OptionalLong ageNanos =
        evidenceNanos.isPresent()
            ? OptionalLong.of(nowNanos - evidenceNanos.getAsLong())
            : OptionalLong.empty();
    return new PeerAnswer(getInForce(), ageNanos);
  }

  /**
   * Handles a periodic tick.
   *
   * @param zonePeers the live peers of the same zone, not null
   * @param remotePeers live peers of other zones, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the actions that follow, never null
   */
  public List<FollowerAction> onTick(
      Collection<PeerId> zonePeers, List<PeerId> remotePeers, long nowNanos) {
    List<FollowerAction> actions = new ArrayList<>();
    if (awaitedPeers == null) {
      awaitedPeers = new HashSet<>(zonePeers);
      zonePeers.forEach(peer -> actions.add(new FollowerAction.AskPeer(peer)));
    }
    if (nowNanos - startNanos >= settings.startTimeout().toNanos()) {
      isStarted = true;
    }
    boolean isStale = !hasEvidenceWithin(nowNanos, settings.leaseLength().toNanos() / 2);
    List<PeerId> readers = findReaders(zonePeers);
    if (readers.contains(self) || isStale && isRandomReader(zonePeers.size() + 1)) {
      actions.add(new FollowerAction.ReadHead());
      if (isStale && !remotePeers.isEmpty()) {
        actions.add(new FollowerAction.AskPeer(chooseRandom(remotePeers)));
      }
    } else if (!hasEvidenceWithin(nowNanos, settings.leaseLength().toNanos() / ASK_LEASE_DIVISOR)) {
      actions.add(new FollowerAction.AskPeer(chooseRandom(readers)));
    }
    addFetch(actions);
    return actions;
  }

  /**
   * Handles the head of the history as read from the table service.
   *
   * @param head the newest accepted version, or empty if none was ever accepted, not null
   * @param sentNanos the reading of the monotonic clock before the read was sent
   * @return the actions that follow, never null
   */
  public List<FollowerAction> onHead(Optional<ConfigurationRecord> head, long sentNanos) {
    isStarted = true;
    return onEvidence(head, Optional.empty(), OptionalLong.of(sentNanos));
  }

  /**
   * Handles the answer of a peer.
   *
   * @param peer the peer, not null
   * @param answer the answer, not null
   * @param askedNanos the reading of the monotonic clock before the question was sent
   * @return the actions that follow, never null
   */
  public List<FollowerAction> onAnswer(PeerId peer, PeerAnswer answer, long askedNanos) {
    if (awaitedPeers != null && awaitedPeers.remove(peer) && awaitedPeers.isEmpty()) {
      isStarted = true;
    }
    OptionalLong answerEvidenceNanos = OptionalLong.empty();
    if (answer.evidenceAgeNanos().isPresent()) {
      long ageNanos = answer.evidenceAgeNanos().getAsLong();
      answerEvidenceNanos = OptionalLong.of(askedNanos - ageNanos - ageNanos / DRIFT_DIVISOR);
    }
    return onEvidence(answer.inForce(), Optional.of(peer), answerEvidenceNanos);
  }

  /**
   * Handles the notice of a peer that it has put a version in force.
   *
   * @param peer the peer, not null
   * @param version the version, 1 or more
   * @return the actions that follow, never null
   */
  public List<FollowerAction> onNotice(PeerId peer, long version) {
    return version > getNewestVersion() ? List.of(new FollowerAction.AskPeer(peer)) : List.of();
  }

  /**
   * Handles a successful fetch of the text of a version. The caller has checked the digest.
   *
   * @param record the version, not null
   * @return the actions that follow, never null
   */
  public List<FollowerAction> onBody(ConfigurationRecord record) {
    isFetching = false;
    List<FollowerAction> actions = new ArrayList<>();
    if (record.version() > getInForceVersion()) {
      inForce = record;
      actions.add(new FollowerAction.PutInForce(record));
      NavigableMap<Long, Long> proven = deferredEvidenceNanos.headMap(record.version(), true);
      proven.values().forEach(this::renewLease);
      proven.clear();
    }
    addFetch(actions);
    return actions;
  }

  /** Handles a failed fetch. The next tick retries it and reads from the object store. */
  public void onFetchFailed() {
    isFetching = false;
    newestSource = Optional.empty();
  }

  private List<FollowerAction> onEvidence(
      Optional<ConfigurationRecord> reported, Optional<PeerId> source, OptionalLong atNanos) {
    long version = reported.map(ConfigurationRecord::version).orElse(0L);
    if (version > getNewestVersion()) {
      newest = reported.get();
      newestSource = source;
    }
    if (atNanos.isPresent()) {
      if (version <= getInForceVersion()) {
        renewLease(atNanos.getAsLong());
      } else {
        deferEvidence(version, atNanos.getAsLong());
      }
    }
    List<FollowerAction> actions = new ArrayList<>();
    addFetch(actions);
    return actions;
  }

  private void addFetch(List<FollowerAction> actions) {
    if (isStarted && !isFetching && getNewestVersion() > getInForceVersion()) {
      isFetching = true;
      actions.add(new FollowerAction.FetchBody(newest, newestSource));
    }
  }

  /** Keeps evidence for a version that is not in force yet. */
  private void deferEvidence(long version, long atNanos) {
    deferredEvidenceNanos.merge(version, atNanos, (a, b) -> b - a > 0 ? b : a);
    if (deferredEvidenceNanos.size() > MAX_DEFERRED_EVIDENCE) {
      deferredEvidenceNanos.pollFirstEntry();
    }
  }

  private void renewLease(long atNanos) {
    if (evidenceNanos.isEmpty() || atNanos - evidenceNanos.getAsLong() > 0) {
      evidenceNanos = OptionalLong.of(atNanos);
    }
  }

  private boolean hasEvidenceWithin(long nowNanos, long maxAgeNanos) {
    return evidenceNanos.isPresent() && nowNanos - evidenceNanos.getAsLong() < maxAgeNanos;
  }

  private long getInForceVersion() {
    return inForce == null ? 0 : inForce.version();
  }

  private long getNewestVersion() {
    return newest == null ? 0 : newest.version();
  }

  private List<PeerId> findReaders(Collection<PeerId> zonePeers) {
    List<PeerId> processes = new ArrayList<>(zonePeers);
    processes.add(self);
    processes.sort(null);
    return processes.subList(0, Math.min(READERS_PER_ZONE, processes.size()));
  }

  /** Draws whether this process reads too; on average, two processes of the zone do. */
  private boolean isRandomReader(int processes) {
    return random.nextInt(processes) < READERS_PER_ZONE;
  }

  private PeerId chooseRandom(List<PeerId> peers) {
    return peers.get(random.nextInt(peers.size()));
  }
}
