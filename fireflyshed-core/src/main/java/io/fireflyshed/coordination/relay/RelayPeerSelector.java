package io.fireflyshed.coordination.relay;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the entries to which requests are relayed.
 *
 * <p>The entry with the fewest relays of this process is selected, at random among equals. An entry
 * that failed is left out for a while, one that refused only for the pool of the request. The pause
 * doubles each time until the entry accepts again. After it the entry is selected only if no other
 * is left, or for a rare trial. Not thread safe.
 */
public final class RelayPeerSelector {

  /**
   * The most entries to which one request is offered. A refusal takes about one round trip, so that
   * eight cost a caller some ten milliseconds.
   */
  public static final int MAX_OFFERS = 8;

  /** The first pause; a refused caller comes back after some hundred milliseconds. */
  static final Duration MIN_PAUSE = Duration.ofMillis(500);

  /** The longest pause, within which an entry whose partition healed is found again. */
  static final Duration MAX_PAUSE = Duration.ofSeconds(4);

  /** The number of relays by which an entry of another availability zone counts as busier. */
  private static final int REMOTE_ZONE_COST = 1;

  /**
   * The delay between two trials of entries that failed or refused while others are usable. A trial
   * of an entry that doesn't answer delays one request by the time of an offer.
   */
  static final Duration TRIAL_INTERVAL = Duration.ofSeconds(2);

  /** The number of entries that are remembered although they are no longer listed. */
  private static final int MAX_UNLISTED = 64;

  /** The shortest pause after a refusal, some round trips. */
  static final Duration MIN_REFUSAL_PAUSE = Duration.ofMillis(50);

  /** The time after a pause from which the next one doesn't double; the cause is another then. */
  static final Duration DOUBLING_MEMORY = Duration.ofSeconds(10);

  /** The pools that are remembered for each entry, since callers name the models. */
  private static final int MAX_POOLS = 64;

  /** Holds the pause after failures of one kind. */
  private static final class Pause {
    private Duration length = Duration.ZERO;
    private long startNanos;

    boolean isRunning(long nowNanos) {
      return nowNanos - startNanos < length.toNanos();
    }

    boolean isNone() {
      return length.isZero();
    }

    /** Starts the next pause. Failures during a pause belong to relays that started before it. */
    void extend(Duration shortest, long nowNanos) {
      if (isRunning(nowNanos)) {
        return;
      }
      boolean isForgotten = nowNanos - startNanos >= length.plus(DOUBLING_MEMORY).toNanos();
      Duration next = isForgotten ? Duration.ZERO : length.multipliedBy(2);
      next = next.compareTo(shortest) < 0 ? shortest : next;
      length = next.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : next;
      startNanos = nowNanos;
    }

    void clear() {
      length = Duration.ZERO;
    }
  }

  /** Holds what is known about an entry and a pool. */
  private static final class PoolState {
    private final Pause refusal = new Pause();
    private boolean isProven;
  }

  /** Holds what is known about an entry. */
  private static final class PeerState {
    private int inFlight;
    private final Pause failure = new Pause();
    private final Map<String, PoolState> pools =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, PoolState> eldest) {
            return size() > MAX_POOLS;
          }
        };

    PoolState getPool(String pool) {
      return pools.computeIfAbsent(pool, p -> new PoolState());
    }

    boolean isForgettable() {
      return inFlight == 0 && failure.isNone() && pools.isEmpty();
    }
  }

  /** Holds an entry that may be selected after its pauses, with their start. */
  private record Suspect(EntryPeer peer, long pauseStartNanos) {}

  /** Tells how willing an entry is to accept a request; lower ones come first. */
  private record Rank(int group, Duration pause, int cost) implements Comparable<Rank> {
    private static final int USABLE = 0;
    private static final int UNKNOWN = 1;
    private static final int SUSPECT = 2;

    private static final Comparator<Rank> ORDER =
        Comparator.comparingInt(Rank::group)
            .thenComparing(Rank::pause)
            .thenComparingInt(Rank::cost);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }

    boolean isSuspect() {
      return group == SUSPECT;
    }
  }

  private static final PeerState NOTHING_KNOWN = new PeerState();
  private static final PoolState NO_POOL_KNOWN = new PoolState();

  private final PeerId self;
  private final AvailabilityZone zone;
  private final UniformRandomProvider random;
  private final Map<PeerId, PeerState> states = new HashMap<>();
  private OptionalLong trialNanos = OptionalLong.empty();

  /**
   * Creates a selector.
   *
   * @param self the name of this entry, which is never selected, not null
   * @param zone the availability zone of this entry, not null
   * @param random breaks ties, not null
   */
  public RelayPeerSelector(PeerId self, AvailabilityZone zone, UniformRandomProvider random) {
    this.self = Objects.requireNonNull(self, "self");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Selects an entry for the next offer of a request.
   *
   * @param peers the known entries, not null
   * @param pool the name of the pool of targets that can run the request, not null
   * @param excluded the entries to which the request was offered before and that must not be
   *     selected, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the entry, or empty if no entry can be tried, never null
   */
  public Optional<EntryPeer> select(
      List<EntryPeer> peers, String pool, Set<PeerId> excluded, long nowNanos) {
    forgetUnlisted(peers);
    boolean isFirstOffer = excluded.isEmpty();
    List<EntryPeer> best = new ArrayList<>();
    List<Suspect> suspects = new ArrayList<>();
    Rank bestRank = null;
    for (EntryPeer peer : peers) {
      PeerState state = states.getOrDefault(peer.id(), NOTHING_KNOWN);
      PoolState poolState = state.pools.getOrDefault(pool, NO_POOL_KNOWN);
      Pause failure = state.failure;
      Pause refusal = poolState.refusal;
      if (peer.id().equals(self)
          || excluded.contains(peer.id())
          || failure.isRunning(nowNanos)
          || refusal.isRunning(nowNanos)) {
        continue;
      }
      Rank rank = getRank(peer, state, poolState, isFirstOffer);
      if (rank.isSuspect()) {
        Pause longer = failure.length.compareTo(refusal.length) > 0 ? failure : refusal;
        suspects.add(new Suspect(peer, longer.startNanos));
      }
      int order = bestRank == null ? -1 : rank.compareTo(bestRank);
      if (order < 0) {
        best.clear();
        bestRank = rank;
      }
      if (order <= 0) {
        best.add(peer);
      }
    }
    if (best.isEmpty()) {
      return Optional.empty();
    }
    if (isFirstOffer && !bestRank.isSuspect() && !suspects.isEmpty() && isTrialDue(nowNanos)) {
      trialNanos = OptionalLong.of(nowNanos);
      return suspects.stream()
          .max(Comparator.comparingLong(suspect -> nowNanos - suspect.pauseStartNanos()))
          .map(Suspect::peer);
    }
    return Optional.of(best.get(random.nextInt(best.size())));
  }

  /** Ranks an entry whose pause is over. */
  private Rank getRank(EntryPeer peer, PeerState state, PoolState poolState, boolean isFirstOffer) {
    int cost = state.inFlight + (peer.zone().equals(zone) ? 0 : REMOTE_ZONE_COST);
    Duration failure = state.failure.length;
    Duration refusal = poolState.refusal.length;
    Duration longer = failure.compareTo(refusal) > 0 ? failure : refusal;
    if (!longer.isZero()) {
      return new Rank(Rank.SUSPECT, longer, cost);
    }
    // A request explores at most one unknown entry while another one is known to accept.
    boolean isUsable = isFirstOffer || poolState.isProven;
    return new Rank(isUsable ? Rank.USABLE : Rank.UNKNOWN, Duration.ZERO, cost);
  }

  private boolean isTrialDue(long nowNanos) {
    return trialNanos.isEmpty() || nowNanos - trialNanos.getAsLong() >= TRIAL_INTERVAL.toNanos();
  }

  /**
   * Records that a relay to an entry starts.
   *
   * @param peer the entry, not null
   */
  public void onStart(PeerId peer) {
    getState(peer).inFlight++;
  }

  /**
   * Records that a relay to an entry ended.
   *
   * @param peer the entry, not null
   */
  public void onEnd(PeerId peer) {
    PeerState state = getState(peer);
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (state.isForgettable()) {
      states.remove(peer);
    }
  }

  /**
   * Records that an entry failed, and leaves it out for a while. Failures during this pause don't
   * prolong it, since they belong to relays that started before.
   *
   * @param peer the entry, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return true if the entry was usable before
   */
  public boolean onFailure(PeerId peer, long nowNanos) {
    PeerState state = getState(peer);
    boolean wasUsable = state.failure.isNone();
    state.pools.values().forEach(pool -> pool.isProven = false);
    state.failure.extend(MIN_PAUSE, nowNanos);
    return wasUsable;
  }

  /**
   * Records that an entry refused a request, and leaves it out for a while for requests of the same
   * pool.
   *
   * @param peer the entry, not null
   * @param pool the name of the pool of targets that can run the request, not null
   * @param retryAfter the delay that the entry stated, which is the first pause between 50 ms and 4
   *     s, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return true if the entry was usable for the pool before
   */
  public boolean onRefusal(PeerId peer, String pool, Duration retryAfter, long nowNanos) {
    PoolState state = getState(peer).getPool(pool);
    boolean wasUsable = state.refusal.isNone();
    state.isProven = false;
    state.refusal.extend(
        retryAfter.compareTo(MIN_REFUSAL_PAUSE) < 0 ? MIN_REFUSAL_PAUSE : retryAfter, nowNanos);
    return wasUsable;
  }

  /**
   * Records that an entry accepted a request, and forgets its failures and its refusals for the
   * pool.
   *
   * @param peer the entry, not null
   * @param pool the name of the pool of targets that can run the request, not null
   * @return true if the entry had failed or had refused for the pool before
   */
  public boolean onSuccess(PeerId peer, String pool) {
    PeerState state = getState(peer);
    PoolState poolState = state.getPool(pool);
    boolean wasLost = !state.failure.isNone() || !poolState.refusal.isNone();
    state.failure.clear();
    poolState.refusal.clear();
    poolState.isProven = true;
    return wasLost;
  }

  private PeerState getState(PeerId peer) {
    return states.computeIfAbsent(peer, p -> new PeerState());
  }

  private void forgetUnlisted(List<EntryPeer> peers) {
    if (states.size() > peers.size() + MAX_UNLISTED) {
      Set<PeerId> listed = peers.stream().map(EntryPeer::id).collect(Collectors.toSet());
      states.entrySet().removeIf(e -> !listed.contains(e.getKey()) && e.getValue().inFlight == 0);
    }
  }
}
