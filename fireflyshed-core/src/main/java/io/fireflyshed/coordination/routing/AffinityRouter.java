package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the replica that is expected to return the first token soonest.
 *
 * <p>The candidates of a request are
 *
 * <ul>
 *   <li>the replicas that have the longest prefixes of its prompt in their cache,
 *   <li>the replica of this zone with the highest rendezvous weight for the start of its prompt
 *       (Thaler and Ravishankar, 1998), so that processes agree without communication,
 *   <li>two random replicas, one of this zone and one of another (the power of two choices;
 *       Mitzenmacher, 2001).
 * </ul>
 *
 * <p>The candidate with the lowest estimated cost is chosen. The cost is the time for the prompt
 * blocks to compute, for the requests ahead and for the distance of the zone. A candidate whose
 * load exceeds a multiple of the mean gets a large additional cost (consistent hashing with bounded
 * loads; Mirrokni, Thorup and Zadimoghaddam, 2018). Stragglers are ejected; they get only single
 * requests that show whether they have recovered.
 *
 * <p>Thread safe.
 *
 * <pre>{@code
 * UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
 * AffinityRouter router = new AffinityRouter(settings, clock, random);
 * router.onLoad(replica, 12, measuredNanos);
 * Optional<OpenReplica> choice = router.choose(view, request, clock.nanoTime());
 * }</pre>
 */
public final class AffinityRouter implements ReplicaRouter {

  private static final long STATISTICS_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int MIN_MEASURED_REPLICAS = 3;

  /** The number of attempts, as a multiple of the mean, at which a replica counts as overloaded. */
  private static final double OWN_ATTEMPTS_BOUND = 2;

  private static final double OVERLOAD_COST_NANOS = Duration.ofSeconds(1).toNanos();

  /** The minimum fraction of replicas that are not ejected, however slow they are. */
  private static final double MIN_ACTIVE_FRACTION = 0.7;

  /** The state of one replica. */
  private static final class ReplicaState {

    /** The number of the replica in the prefix index. */
    private final int number;

    private final ReplicaLoad load = new ReplicaLoad();
    private final StragglerDetector detector = new StragglerDetector();

    ReplicaState(int number) {
      this.number = number;
    }

    int getCachedBlocks(int[] cachedBlocks) {
      return number < cachedBlocks.length ? cachedBlocks[number] : 0;
    }
  }

  /** A running attempt. */
  private static final class Attempt {

    private final long startNanos;
    private long lastTokenNanos;
    private boolean hasToken;

    Attempt(long startNanos) {
      this.startNanos = startNanos;
    }
  }

  private final RouterSettings settings;
  private final MonotonicClock clock;
  private final UniformRandomProvider random;
  private final PrefixIndex prefixIndex;
  private final Map<ReplicaId, ReplicaState> states = new HashMap<>();
  private final Map<RouteRequest, Attempt> attempts = new IdentityHashMap<>();
  private RouteRequest lastRequest;
  private long[] lastBlocks;
  private int nextNumber;
  private double meanLoad;
  private long lastUpdateNanos;
  private double medianInterTokenNanos;
  private boolean isUpdated;

  /**
   * Creates a router without information about replicas.
   *
   * @param settings the settings, not null
   * @param clock the clock of this process, not null
   * @param random the source of randomness, not null
   */
  public AffinityRouter(
      RouterSettings settings, MonotonicClock clock, UniformRandomProvider random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.random = Objects.requireNonNull(random, "random");
    this.prefixIndex = new PrefixIndex(settings.maxBlocks());
    this.lastUpdateNanos = clock.nanoTime();
  }

  @Override
  public synchronized Optional<OpenReplica> choose(
      ServingView view, RouteRequest request, long nowNanos) {
    updateStatistics(nowNanos);
    long[] blocks = getBlocks(request);
    int[] cachedBlocks = prefixIndex.estimateCachedBlocks(blocks);
    CandidateSet candidates =
        new CandidateSet(settings.zone(), getRendezvousKey(request, blocks), random);
    OpenReplica probe = null;
    OpenReplica fallback = null;
    for (OpenReplica replica : view.getOpen(request.service())) {
      ReplicaId id = replica.assignment().id();
      if (!replica.isOpen(nowNanos) || request.excluded().contains(id)) {
        continue;
      }
      ReplicaState state = states.get(id);
      if (state == null || !state.detector.isEjected()) {
        candidates.add(replica, state == null ? 0 : state.getCachedBlocks(cachedBlocks));
      } else if (state.detector.isProbeDue(state.load.getInFlight(), nowNanos)) {
        probe = replica;
      } else {
        fallback = replica;
      }
    }
    if (probe != null) {
      return Optional.of(probe);
    }
    Optional<OpenReplica> best = findCheapest(candidates, cachedBlocks, blocks.length, nowNanos);
    return best.isPresent() ? best : Optional.ofNullable(fallback);
  }

  @Override
  public synchronized void onStart(ReplicaId replica, RouteRequest request) {
    long nowNanos = clock.nanoTime();
    ReplicaState state = getOrCreateState(replica);
    state.detector.recordStart(state.load.getInFlight(), nowNanos);
    state.load.recordStart(nowNanos);
    attempts.put(request, new Attempt(nowNanos));
    prefixIndex.recordRequest(state.number, getBlocks(request), nowNanos);
  }

  @Override
  public synchronized void onTokens(
      ReplicaId replica, RouteRequest request, int tokens, long nowNanos) {
    Attempt attempt = attempts.get(request);
    if (attempt == null) {
      return;
    }
    StragglerDetector detector = getOrCreateState(replica).detector;
    if (attempt.hasToken) {
      detector.recordInterTokenTime((nowNanos - attempt.lastTokenNanos) / Math.max(1, tokens));
    }
    detector.recordToken(nowNanos);
    attempt.lastTokenNanos = nowNanos;
    attempt.hasToken = true;
  }

  @Override
  public synchronized void onEnd(ReplicaId replica, RouteRequest request) {
    Attempt attempt = attempts.remove(request);
    if (attempt == null) {
      return;
    }
    ReplicaState state = getOrCreateState(replica);
    state.load.recordEnd(attempt.startNanos);
    if (state.load.getInFlight() == 0) {
      state.detector.recordIdle();
    }
  }

  /**
   * Records a load report of a replica.
   *
   * @param replica the replica, not null
   * @param activeRequests the number of requests that were running or queued there, 0 or more
   * @param measuredNanos the reading of the monotonic clock at the measurement, in nanoseconds; a
   *     report that is not newer than the last one is ignored
   */
  public synchronized void onLoad(ReplicaId replica, int activeRequests, long measuredNanos) {
    getOrCreateState(replica).load.recordReport(activeRequests, measuredNanos);
  }

  /**
   * Records changes of the prefix cache of a replica.
   *
   * @param replica the replica, not null
   * @param changes the changes in ascending order of their sequence numbers, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public synchronized void onCacheChanges(
      ReplicaId replica, List<CacheChange> changes, long nowNanos) {
    prefixIndex.recordChanges(getOrCreateState(replica).number, changes, nowNanos);
  }

  /**
   * Gets the sequence number of the last recorded cache change of a replica.
   *
   * @param replica the replica, not null
   * @return the sequence number, 0 if no change was recorded
   */
  public synchronized long getLastSequence(ReplicaId replica) {
    return prefixIndex.getLastSequence(getOrCreateState(replica).number);
  }

  /**
   * Removes a replica that no longer exists.
   *
   * @param replica the replica, not null
   */
  public synchronized void forget(ReplicaId replica) {
    states.remove(replica);
  }

  /**
   * Tests whether a replica is ejected as a straggler.
   *
   * @param replica the replica, not null
   * @return true if the replica gets only single requests that show its speed
   */
  public synchronized boolean isEjected(ReplicaId replica) {
    ReplicaState state = states.get(replica);
    return state != null && state.detector.isEjected();
  }

  private ReplicaState getOrCreateState(ReplicaId replica) {
    ReplicaState state = states.get(replica);
    if (state == null) {
      state = new ReplicaState(nextNumber++);
      states.put(replica, state);
      prefixIndex.ensureCapacity(nextNumber);
    }
    return state;
  }

  /** Gets the blocks of a prompt, computed once for the choice and the start of an attempt. */
  private long[] getBlocks(RouteRequest request) {
    if (lastRequest != request) {
      lastBlocks = PrefixBlocks.of(request.prompt());
      lastRequest = request;
    }
    return lastBlocks;
  }

  private static long getRendezvousKey(RouteRequest request, long[] blocks) {
    return blocks.length == 0 ? request.prompt().hashCode() : blocks[0];
  }

  private Optional<OpenReplica> findCheapest(
      CandidateSet candidates, int[] cachedBlocks, int promptBlocks, long nowNanos) {
    OpenReplica best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double maxLoad = settings.loadBound() * (meanLoad + 1);
    double maxOwnAttempts =
        Math.ceil(OWN_ATTEMPTS_BOUND * (attempts.size() + 1) / Math.max(1, states.size()));
    for (OpenReplica replica : candidates.get()) {
      ReplicaId id = replica.assignment().id();
      ReplicaState state = states.get(id);
      double load = state == null ? meanLoad : state.load.estimateLoad(meanLoad, nowNanos);
      double cost =
          load * settings.loadCost().toNanos()
              + (promptBlocks - (state == null ? 0 : state.getCachedBlocks(cachedBlocks)))
                  * (double) settings.blockCost().toNanos();
      if (!replica.assignment().getHead().zone().equals(settings.zone())) {
        cost += settings.zoneCost().toNanos();
      }
      int ownAttempts = state == null ? 0 : state.load.getInFlight();
      if (load > maxLoad || ownAttempts >= maxOwnAttempts) {
        cost += OVERLOAD_COST_NANOS + Math.max(load - maxLoad, ownAttempts - maxOwnAttempts) * 1e9;
      }
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Recomputes the mean load and the median time between tokens, and ejects and readmits replicas.
   */
  private void updateStatistics(long nowNanos) {
    if (isUpdated && nowNanos - lastUpdateNanos < STATISTICS_INTERVAL_NANOS) {
      return;
    }
    lastUpdateNanos = nowNanos;
    isUpdated = true;
    meanLoad =
        states.values().stream()
            .filter(s -> s.load.hasRecentReport(nowNanos))
            .mapToDouble(s -> s.load.getReportedLoad())
            .average()
            .orElse(0);
    double[] interTokenNanos =
        states.values().stream()
            .filter(s -> s.detector.hasEnoughSamples())
            .mapToDouble(s -> s.detector.getInterTokenNanos())
            .sorted()
            .toArray();
    if (interTokenNanos.length >= MIN_MEASURED_REPLICAS) {
      medianInterTokenNanos = interTokenNanos[(interTokenNanos.length - 1) / 2];
    }
    if (medianInterTokenNanos > 0) {
      ejectAndReadmit(nowNanos);
    }
  }

  private void ejectAndReadmit(long nowNanos) {
    long ejected = states.values().stream().filter(s -> s.detector.isEjected()).count();
    for (ReplicaState state : states.values()) {
      if (state.detector.isEjected()
          && state.detector.isRecovered(medianInterTokenNanos, settings)) {
        state.detector.readmit();
        ejected--;
      } else if (!state.detector.isEjected()
          && state.detector.isStraggler(medianInterTokenNanos, settings, nowNanos)
          && ejected + 1 <= (1 - MIN_ACTIVE_FRACTION) * states.size()) {
        state.detector.eject(nowNanos);
        ejected++;
      }
    }
  }
}
