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
 * Decides which version of the configuration one process has in force, and whether the process may
 * be behind. Not thread safe.
 *
 * <p>The process holds a lease: evidence, dated from before the read was sent, that the version in
 * force was the newest accepted one. After the lease length without new evidence the process knows
 * that it may be behind. Evidence comes from the table service or, dated back by its age, from the
 * answer of a peer to a question; clocks of two processes are never compared.
 *
 * <p>Two processes of each zone read the table service, the others ask them when a third of their
 * lease has passed.
 */
public final class ConfigurationFollower {

  private static final int READERS = 2;
  private static final int MAX_PENDING = 16;
  private static final int ASK_DIVISOR = 3;
  private static final long DRIFT_DIVISOR = 1_000;

  private final PeerId self;
  private final FollowerSettings settings;
  private final UniformRandomProvider random;
  private final long startNanos;

  private Set<PeerId> awaited;
  private boolean isStarted;
  private ConfigurationRecord inForce;
  private ConfigurationRecord wanted;
  private Optional<PeerId> wantedSource = Optional.empty();
  private boolean isFetching;
  private OptionalLong renewedNanos = OptionalLong.empty();
  private final NavigableMap<Long, Long> pendingNanos = new TreeMap<>();

  /**
   * Creates a follower that has nothing in force.
   *
   * @param self this process, not null
   * @param settings the settings, not null
   * @param random the source of randomness, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public ConfigurationFollower(
      PeerId self, FollowerSettings settings, UniformRandomProvider random, long nowNanos) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    this.startNanos = nowNanos;
  }

  /**
   * Gets the version in force.
   *
   * @return the version, or empty if there is none, never null
   */
  public Optional<ConfigurationRecord> getInForce() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Tests whether the lease holds, so that every version accepted longer than a lease length ago is
   * in force here. A current process without a version knows that none was ever accepted.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return false if the process may be behind
   */
  public boolean isCurrent(long nowNanos) {
    return isFresh(nowNanos, settings.leaseLength().toNanos());
  }

  /**
   * Gets the end of the lease.
   *
   * @return the reading of the monotonic clock from which on the process may be behind, or empty if
   *     it never had a lease, never null
   */
  public OptionalLong getLeaseEndNanos() {
    return renewedNanos.isPresent()
        ? OptionalLong.of(renewedNanos.getAsLong() + settings.leaseLength().toNanos())
        : OptionalLong.empty();
  }

  /**
   * Gets the answer to a peer's question.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the answer, never null
   */
  public PeerAnswer answer(long nowNanos) {
    OptionalLong age =
        renewedNanos.isPresent()
            ? OptionalLong.of(nowNanos - renewedNanos.getAsLong())
            : OptionalLong.empty();
    return new PeerAnswer(getInForce(), age);
  }

  /**
   * Takes a regular tick.
   *
   * @param zonePeers the live peers of the same zone, not null
   * @param remotePeers live peers of other zones, not null
   * @param nowNanos the reading of the monotonic clock
   * @return what to do, never null
   */
  public List<FollowerAction> onTick(
      Collection<PeerId> zonePeers, List<PeerId> remotePeers, long nowNanos) {
    List<FollowerAction> actions = new ArrayList<>();
    if (awaited == null) {
      awaited = new HashSet<>(zonePeers);
      zonePeers.forEach(p -> actions.add(new FollowerAction.AskPeer(p)));
    }
    if (nowNanos - startNanos >= settings.startWait().toNanos()) {
      isStarted = true;
    }
    boolean isStale = !isFresh(nowNanos, settings.leaseLength().toNanos() / 2);
    List<PeerId> readers = findReaders(zonePeers);
    if (readers.contains(self) || isStale && isChosen(zonePeers.size() + 1)) {
      actions.add(new FollowerAction.ReadHead());
      if (isStale && !remotePeers.isEmpty()) {
        actions.add(new FollowerAction.AskPeer(pick(remotePeers)));
      }
    } else if (!isFresh(nowNanos, settings.leaseLength().toNanos() / ASK_DIVISOR)) {
      actions.add(new FollowerAction.AskPeer(pick(readers)));
    }
    addFetch(actions);
    return actions;
  }

  /**
   * Takes the end of the chain as the table service told it.
   *
   * @param head the newest version, or empty if none was ever accepted, not null
   * @param sentNanos the reading of the monotonic clock before the read was sent
   * @return what to do, never null
   */
  public List<FollowerAction> onHead(Optional<ConfigurationRecord> head, long sentNanos) {
    isStarted = true;
    return onEvidence(head, Optional.empty(), OptionalLong.of(sentNanos));
  }

  /**
   * Takes the answer of a peer.
   *
   * @param peer the peer, not null
   * @param answer the answer, not null
   * @param askedNanos the reading of the monotonic clock before the question was sent
   * @return what to do, never null
   */
  public List<FollowerAction> onAnswer(PeerId peer, PeerAnswer answer, long askedNanos) {
    if (awaited != null && awaited.remove(peer) && awaited.isEmpty()) {
      isStarted = true;
    }
    OptionalLong evidence = OptionalLong.empty();
    if (answer.evidenceAgeNanos().isPresent()) {
      long age = answer.evidenceAgeNanos().getAsLong();
      evidence = OptionalLong.of(askedNanos - age - age / DRIFT_DIVISOR);
    }
    return onEvidence(answer.inForce(), Optional.of(peer), evidence);
  }

  /**
   * Takes a peer's word that it has a version in force.
   *
   * @param peer the peer, not null
   * @param version the version, 1 or more
   * @return what to do, never null
   */
  public List<FollowerAction> onNotice(PeerId peer, long version) {
    return version > getWantedVersion() ? List.of(new FollowerAction.AskPeer(peer)) : List.of();
  }

  /**
   * Takes the news that the text of a version is at hand and has the right digest.
   *
   * @param record the version, not null
   * @return what to do, never null
   */
  public List<FollowerAction> onBody(ConfigurationRecord record) {
    isFetching = false;
    List<FollowerAction> actions = new ArrayList<>();
    if (record.version() > getVersion()) {
      inForce = record;
      actions.add(new FollowerAction.PutInForce(record));
      NavigableMap<Long, Long> proven = pendingNanos.headMap(record.version(), true);
      proven.values().forEach(this::renew);
      proven.clear();
    }
    addFetch(actions);
    return actions;
  }

  /** Takes the failure of a fetch; the next tick tries again, then from the object store. */
  public void onFetchFailed() {
    isFetching = false;
    wantedSource = Optional.empty();
  }

  private List<FollowerAction> onEvidence(
      Optional<ConfigurationRecord> told, Optional<PeerId> source, OptionalLong atNanos) {
    long version = told.map(ConfigurationRecord::version).orElse(0L);
    if (version > getWantedVersion()) {
      wanted = told.get();
      wantedSource = source;
    }
    if (atNanos.isPresent()) {
      if (version <= getVersion()) {
        renew(atNanos.getAsLong());
      } else {
        addPending(version, atNanos.getAsLong());
      }
    }
    List<FollowerAction> actions = new ArrayList<>();
    addFetch(actions);
    return actions;
  }

  private void addFetch(List<FollowerAction> actions) {
    if (isStarted && !isFetching && getWantedVersion() > getVersion()) {
      isFetching = true;
      actions.add(new FollowerAction.FetchBody(wanted, wantedSource));
    }
  }

  private void addPending(long version, long atNanos) {
    pendingNanos.merge(version, atNanos, (a, b) -> b - a > 0 ? b : a);
    if (pendingNanos.size() > MAX_PENDING) {
      pendingNanos.pollFirstEntry();
    }
  }

  private void renew(long atNanos) {
    if (renewedNanos.isEmpty() || atNanos - renewedNanos.getAsLong() > 0) {
      renewedNanos = OptionalLong.of(atNanos);
    }
  }

  private boolean isFresh(long nowNanos, long maxAgeNanos) {
    return renewedNanos.isPresent() && nowNanos - renewedNanos.getAsLong() < maxAgeNanos;
  }

  private long getVersion() {
    return inForce == null ? 0 : inForce.version();
  }

  private long getWantedVersion() {
    return wanted == null ? 0 : wanted.version();
  }

  private List<PeerId> findReaders(Collection<PeerId> zonePeers) {
    List<PeerId> all = new ArrayList<>(zonePeers);
    all.add(self);
    all.sort(null);
    return all.subList(0, Math.min(READERS, all.size()));
  }

  private boolean isChosen(int processes) {
    return random.nextInt(processes) < READERS;
  }

  private PeerId pick(List<PeerId> peers) {
    return peers.get(random.nextInt(peers.size()));
  }
}
