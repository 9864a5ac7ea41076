package io.fireflyshed.coordination.admission;

import io.fireflyshed.coordination.placement.DemandMeter;
import io.fireflyshed.coordination.placement.PoolRoom;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.state.traffic.Rank;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Refuses the least urgent requests first when the room of a pool gets short.
 *
 * <p>Each rank has a threshold on the used room, between the slots and the capacity: it leaves the
 * room that more urgent requests are expected to need until this entry learns of them, and waits at
 * the targets that are no longer than the callers' latency target allows. The admitted fraction of
 * a rank is the room up to its threshold, and what becomes free until new loads are told less what
 * more urgent requests take of it, divided by the rank's demand in that time. Nothing is refused
 * while slots are free, and the most urgent rank is left to the placement. A rank, or an account
 * within its rank, that gets far less than the others is admitted beyond the threshold. Thread
 * safe.
 */
public final class RankAdmission {

  /** The time for which room for more urgent requests is kept; as old as told loads get. */
  private static final double RESERVE_SECONDS = 0.35;

  /** The deviations of the more urgent arrivals in that time that fit into the reserve, too. */
  private static final double RESERVE_DEVIATIONS = 2;

  /** The part of the latency target that a request may be expected to wait at its target. */
  private static final double MAX_WAIT_PART = 0.5;

  /** The part of all callers' admitted part that each rank gets. */
  private static final double RANK_FLOOR = 0.3;

  /** The part of its rank's admitted part that each account gets. */
  private static final double ACCOUNT_FLOOR = 0.4;

  /** The multiple of the mean account above which an account is refused first. */
  private static final double ACCOUNT_EXCESS = 1.2;

  /** The part of the queues that accounts of the first rank above their share must not fill. */
  private static final double FAIR_PART = 0.25;

  /** Limits the pools that are told apart, which come from the configuration. */
  private static final int MAX_POOLS = 256;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Limits the requests of a rank.
   *
   * @param threshold the used room from which they are refused
   * @param band the room between the thresholds of two ranks
   * @param fraction the fraction that finds room, not limited to 0 to 1
   * @param isFirst whether no more urgent rank has callers, so that the placement decides
   */
  private record Limit(double threshold, double band, double fraction, boolean isFirst) {}

  /** Holds the state of a pool. */
  private static final class Pool {
    private final TreeMap<Rank, RankState> ranks = new TreeMap<>();
    private final AdmissionCounts counts = new AdmissionCounts();
  }

  private final DemandMeter demands;
  private final Map<String, Pool> pools = new HashMap<>();

  /**
   * Creates an admission.
   *
   * @param demands is told the requests of this entry and knows those of all, not null
   */
  public RankAdmission(DemandMeter demands) {
    this.demands = Objects.requireNonNull(demands, "demands");
  }

  /**
   * Decides on a request of a caller of this entry.
   *
   * @param request the request, not null
   * @param room the room of its pool, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the decision, never null
   */
  public synchronized AdmissionDecision decide(
      RequestDescriptor request, PoolRoom room, long nowNanos) {
    demands.onArrival(request, 0);
    Pool pool = pools.get(request.pool());
    if (pool == null) {
      pool = new Pool();
      if (pools.size() < MAX_POOLS) {
        pools.put(request.pool(), pool);
      }
    }
    RankState state = pool.ranks.computeIfAbsent(request.rank(), r -> new RankState());
    AdmissionCounts account = state.getAccount(request.account().orElse(""), nowNanos);
    pool.counts.onArrival(nowNanos);
    state.getCounts().onArrival(nowNanos);
    account.onArrival(nowNanos);
    followDemand(pool, request.pool(), nowNanos);
    Rank sent = admit(pool, state, account, request, room);
    if (sent == null) {
      demands.onRefusal(request);
      return new AdmissionDecision.Refuse(state.getThreshold(), state.nextRetry(nowNanos));
    }
    pool.counts.onAdmission();
    state.getCounts().onAdmission();
    account.onAdmission();
    return new AdmissionDecision.Admit(sent);
  }

  private void followDemand(Pool pool, String name, long nowNanos) {
    Map<Rank, Double> rates = demands.getArrivalRates(name, nowNanos);
    rates.keySet().forEach(r -> pool.ranks.computeIfAbsent(r, k -> new RankState()));
    pool.ranks.forEach((rank, s) -> s.follow(rates.getOrDefault(rank, 0.0), nowNanos));
  }

  /** Returns the rank with which a request is sent, null if it is refused. */
  private Rank admit(
      Pool pool,
      RankState state,
      AdmissionCounts account,
      RequestDescriptor request,
      PoolRoom room) {
    Limit limit = computeLimit(pool, state, request, room);
    state.setThreshold(limit.threshold());
    if (room.used() < room.slots() || limit.fraction() >= 1) {
      return request.rank();
    }
    if (isOverServed(state, account)) {
      return null;
    }
    if (limit.isFirst() || state.take(Math.max(0, limit.fraction()))) {
      return request.rank();
    }
    if (room.used() < limit.threshold() + limit.band()
        && account.getAdmitted() < state.getMeanAdmitted()
        && isBelow(account, ACCOUNT_FLOOR * state.getCounts().getPart())) {
      return request.rank();
    }
    // With its own rank it would wait behind all more urgent requests at its target.
    return room.used() < room.capacity()
            && isBelow(state.getCounts(), RANK_FLOOR * pool.counts.getPart())
        ? pool.ranks.lowerKey(request.rank())
        : null;
  }

  /** Computes the limit of a rank from the room and the demand of all ranks. */
  private static Limit computeLimit(
      Pool pool, RankState state, RequestDescriptor request, PoolRoom room) {
    int ranks = 0;
    int moreUrgentRanks = 0;
    double moreUrgentRate = 0;
    double firstRate = 0;
    double allRate = 0;
    for (Map.Entry<Rank, RankState> entry : pool.ranks.entrySet()) {
      RankState other = entry.getValue();
      allRate += other.getRate();
      if (other != state && !other.hasCallers()) {
        continue;
      }
      ranks++;
      if (entry.getKey().isMoreUrgentThan(request.rank())) {
        firstRate = moreUrgentRanks == 0 ? other.getRate() : firstRate;
        moreUrgentRanks++;
        moreUrgentRate += other.getRate();
      }
    }
    double capacity = room.capacity();
    if (moreUrgentRanks == 0) {
      double band = Math.max(1, (capacity - room.slots()) * FAIR_PART);
      return new Limit(capacity, band, (capacity - room.used()) / band, true);
    }
    double endsPerSecond = allRate * pool.counts.getPart();
    double latencySeconds = request.latencyTarget().toNanos() / NANOS_PER_SECOND;
    double queue =
        Math.min(capacity - room.slots(), endsPerSecond * latencySeconds * MAX_WAIT_PART);
    double band = Math.max(1, queue / (2 * ranks));
    double lowest = room.slots() + 2 * band * (ranks - moreUrgentRanks);
    // The first rank may use all of the capacity, the others what keeps their waits short.
    double wanted =
        Math.min(
            capacity - getReserve(moreUrgentRate),
            room.slots() + queue - getReserve(moreUrgentRate - firstRate));
    double threshold = Math.max(lowest, wanted);
    // What becomes free until the admitted requests show in the told loads.
    double free = threshold - room.used() + (endsPerSecond - moreUrgentRate) * RESERVE_SECONDS;
    double predicted = free / Math.max(1, state.getRate() * RESERVE_SECONDS);
    // A prediction that fails must not fill the room of more urgent requests.
    double highest = 1 - (room.used() - threshold) / band;
    return new Limit(threshold, band, Math.min(predicted, highest), false);
  }

  /** Returns the requests of a rate that may arrive before this entry learns of them. */
  private static double getReserve(double rate) {
    double expected = rate * RESERVE_SECONDS;
    return expected + RESERVE_DEVIATIONS * Math.sqrt(expected);
  }

  /** Tests whether an account has more than the others and loses nothing to them by a refusal. */
  private static boolean isOverServed(RankState state, AdmissionCounts account) {
    return account.getAdmitted() > ACCOUNT_EXCESS * state.getMeanAdmitted() + 1
        && account.getPart() >= ACCOUNT_FLOOR * state.getCounts().getPart();
  }

  /** Tests whether a part lacks at least one whole request. */
  private static boolean isBelow(AdmissionCounts counts, double part) {
    return part * counts.getArrived() - counts.getAdmitted() >= 1;
  }

  /**
   * Returns the thresholds that applied last, for the metrics.
   *
   * @param pool the pool, not null
   * @param rank the rank, not null
   * @return the used room in requests from which the rank is refused, 0 if none applied yet
   */
  public synchronized double getThreshold(String pool, Rank rank) {
    Pool found = pools.get(pool);
    RankState state = found == null ? null : found.ranks.get(rank);
    return state == null ? 0 : state.getThreshold();
  }
}
