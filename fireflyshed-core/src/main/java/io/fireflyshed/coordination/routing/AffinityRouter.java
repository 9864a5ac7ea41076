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
 * Chooses the replica that will probably give the first token soonest.
 *
 * <p>The candidates of a request are
 *
 * <ul>
 *   <li>the replicas that hold the longest prefixes of its prompt,
 *   <li>the replicas with the highest rendezvous weight for the start of its prompt (Thaler and
 *       Ravishankar, 1998), so that processes that know nothing of each other agree,
 *   <li>two replicas taken at random (the power of two choices; Mitzenmacher, 2001).
 * </ul>
 *
 * <p>A candidate whose load exceeds the mean by a factor is passed over (consistent hashing with
 * bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2018). Of the rest the one with the least
 * estimated cost is taken: blocks to compute, requests before it, and the distance of its zone.
 * Stragglers get no more than single requests that show whether they have recovered.
 *
 * <p>Thread safe.
 *
 * <pre>{@code
 * UniformRandomProvider rng = RandomSource.XO_SHI_RO_256_PP.create();
 * AffinityRouter router = new AffinityRouter(settings, clock, rng);
 * router.onLoad(replica, 12, measuredNanos);
 * Optional<OpenReplica> choice = router.choose(view, request, clock.nanoTime());
 * }</pre>
 */
public final class AffinityRouter implements ReplicaRouter {

  private static final long MEDIAN_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int MIN_MEASURED = 3;

  /** The most own requests on one replica as a multiple of the mean. */
  private static final double OWN_BOUND = 2;

  private static final double OVERLOAD_COST_NANOS = Duration.ofSeconds(1).toNanos();

  /** The smallest part of the replicas that stay in, however slow they are. */
  private static final double MIN_IN = 0.7;

  /** What is known of one replica. */
  private static final class State {

    private final int number;
    private final ReplicaLoad load = new ReplicaLoad();
    private final ReplicaSpeed speed = new ReplicaSpeed();

    State(int number) {
      this.number = number;
    }

    int getDepth(int[] depths) {
      return number < depths.length ? depths[number] : 0;
    }
  }

  /** An attempt that runs. */
  private static final class Attempt {

    private final long startNanos;
    private long tokenNanos;
    private boolean hasToken;

    Attempt(long startNanos) {
      this.startNanos = startNanos;
    }
  }

  private final RouterSettings settings;
  private final MonotonicClock clock;
  private final UniformRandomProvider rng;
  private final PrefixIndex index;
  private final Map<ReplicaId, State> states = new HashMap<>();
  private final Map<RouteRequest, Attempt> attempts = new IdentityHashMap<>();
  private RouteRequest lastRequest;
  private long[] lastBlocks;
  private int nextNumber;
  private double meanLoad;
  private long medianNanos;
  private double medianGapNanos;
  private boolean isMedianKnown;

  /**
   * Creates a router that knows nothing of replicas.
   *
   * @param settings the settings, not null
   * @param clock the clock of this process, not null
   * @param rng the source of random choices, not null
   */
  public AffinityRouter(RouterSettings settings, MonotonicClock clock, UniformRandomProvider rng) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.rng = Objects.requireNonNull(rng, "rng");
    this.index = new PrefixIndex(settings.maxBlocks());
    this.medianNanos = clock.nanoTime();
  }

  @Override
  public synchronized Optional<OpenReplica> choose(
      ServingView view, RouteRequest request, long nowNanos) {
    updateMedian(nowNanos);
    long[] blocks = getBlocks(request);
    int[] depths = index.find(blocks);
    CandidateSet candidates = new CandidateSet(settings.zone(), getHomeKey(request, blocks), rng);
    OpenReplica probe = null;
    OpenReplica last = null;
    for (OpenReplica replica : view.getOpen(request.service())) {
      ReplicaId id = replica.assignment().id();
      if (!replica.isOpen(nowNanos) || request.excluded().contains(id)) {
        continue;
      }
      State state = states.get(id);
      if (state == null || !state.speed.isEjected()) {
        candidates.add(replica, state == null ? 0 : state.getDepth(depths));
      } else if (state.speed.isProbeDue(state.load.getInFlight(), nowNanos)) {
        probe = replica;
      } else {
        last = replica;
      }
    }
    if (probe != null) {
      return Optional.of(probe);
    }
    Optional<OpenReplica> best = findCheapest(candidates, depths, blocks.length, nowNanos);
    return best.isPresent() ? best : Optional.ofNullable(last);
  }

  @Override
  public synchronized void onStart(ReplicaId replica, RouteRequest request) {
    long now = clock.nanoTime();
    State state = getState(replica);
    state.speed.onStart(state.load.getInFlight(), now);
    state.load.onStart(now);
    attempts.put(request, new Attempt(now));
    index.onSent(state.number, getBlocks(request), now);
  }

  @Override
  public synchronized void onTokens(
      ReplicaId replica, RouteRequest request, int tokens, long nowNanos) {
    Attempt attempt = attempts.get(request);
    if (attempt == null) {
      return;
    }
    ReplicaSpeed speed = getState(replica).speed;
    if (attempt.hasToken) {
      speed.onGap((nowNanos - attempt.tokenNanos) / Math.max(1, tokens));
    }
    speed.onToken(nowNanos);
    attempt.tokenNanos = nowNanos;
    attempt.hasToken = true;
  }

  @Override
  public synchronized void onEnd(ReplicaId replica, RouteRequest request) {
    Attempt attempt = attempts.remove(request);
    if (attempt == null) {
      return;
    }
    State state = getState(replica);
    state.load.onEnd(attempt.startNanos);
    if (state.load.getInFlight() == 0) {
      state.speed.onIdle();
    }
  }

  /**
   * Takes in a load report.
   *
   * @param replica the replica, not null
   * @param active the number of requests that ran or waited there, 0 or more
   * @param measuredNanos the reading of the clock when the report was made; older ones are ignored
   */
  public synchronized void onLoad(ReplicaId replica, int active, long measuredNanos) {
    getState(replica).load.onReport(active, measuredNanos);
  }

  /**
   * Takes in changes of the prefix cache of a replica.
   *
   * @param replica the replica, not null
   * @param changes the changes in their order, not null
   * @param nowNanos the reading of the clock
   */
  public synchronized void onCacheChanges(
      ReplicaId replica, List<CacheChange> changes, long nowNanos) {
    index.onChanges(getState(replica).number, changes, nowNanos);
  }

  /**
   * Gets the number of the last cache change that was taken in.
   *
   * @param replica the replica, not null
   * @return the sequence number, 0 if there was none
   */
  public synchronized long getLastSequence(ReplicaId replica) {
    return index.getLastSequence(getState(replica).number);
  }

  /**
   * Forgets a replica that does not exist any more.
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
   * @return true if it gets no more than single requests
   */
  public synchronized boolean isEjected(ReplicaId replica) {
    State state = states.get(replica);
    return state != null && state.speed.isEjected();
  }

  private State getState(ReplicaId replica) {
    State state = states.get(replica);
    if (state == null) {
      state = new State(nextNumber++);
      states.put(replica, state);
      index.setReplicas(nextNumber);
    }
    return state;
  }

  /** Gets the blocks of a prompt; the choice and the start of an attempt share them. */
  private long[] getBlocks(RouteRequest request) {
    if (lastRequest != request) {
      lastBlocks = PrefixBlocks.of(request.prompt());
      lastRequest = request;
    }
    return lastBlocks;
  }

  private static long getHomeKey(RouteRequest request, long[] blocks) {
    return blocks.length == 0 ? request.prompt().hashCode() : blocks[0];
  }

  private Optional<OpenReplica> findCheapest(
      CandidateSet candidates, int[] depths, int blocks, long nowNanos) {
    OpenReplica best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double bound = settings.loadBound() * (meanLoad + 1);
    double ownBound = Math.ceil(OWN_BOUND * (attempts.size() + 1) / Math.max(1, states.size()));
    for (OpenReplica replica : candidates.get()) {
      ReplicaId id = replica.assignment().id();
      State state = states.get(id);
      double load = state == null ? meanLoad : state.load.getEstimate(meanLoad, nowNanos);
      double cost =
          load * settings.loadCost().toNanos()
              + (blocks - (state == null ? 0 : state.getDepth(depths)))
                  * (double) settings.blockCost().toNanos();
      if (!replica.assignment().getHead().zone().equals(settings.zone())) {
        cost += settings.zoneCost().toNanos();
      }
      int own = state == null ? 0 : state.load.getInFlight();
      if (load > bound || own >= ownBound) {
        cost += OVERLOAD_COST_NANOS + Math.max(load - bound, own - ownBound) * 1e9;
      }
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Recomputes the mean load and the median time between tokens, and ejects and readmits. */
  private void updateMedian(long nowNanos) {
    if (isMedianKnown && nowNanos - medianNanos < MEDIAN_INTERVAL_NANOS) {
      return;
    }
    medianNanos = nowNanos;
    isMedianKnown = true;
    meanLoad =
        states.values().stream()
            .filter(s -> s.load.hasReport(nowNanos))
            .mapToDouble(s -> s.load.getReported())
            .average()
            .orElse(0);
    double[] gaps =
        states.values().stream()
            .filter(s -> s.speed.isMeasured())
            .mapToDouble(s -> s.speed.getGapNanos())
            .sorted()
            .toArray();
    if (gaps.length >= MIN_MEASURED) {
      medianGapNanos = gaps[(gaps.length - 1) / 2];
    }
    if (medianGapNanos > 0) {
      ejectAndReadmit(nowNanos);
    }
  }

  private void ejectAndReadmit(long nowNanos) {
    long ejected = states.values().stream().filter(s -> s.speed.isEjected()).count();
    for (State state : states.values()) {
      if (state.speed.isEjected() && state.speed.isRecovered(medianGapNanos, settings)) {
        state.speed.readmit();
        ejected--;
      } else if (!state.speed.isEjected()
          && state.speed.isSlow(medianGapNanos, settings, nowNanos)
          && ejected + 1 <= (1 - MIN_IN) * states.size()) {
        state.speed.eject(nowNanos);
        ejected++;
      }
    }
  }
}
