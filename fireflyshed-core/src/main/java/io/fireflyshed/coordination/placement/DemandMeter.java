package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures what the callers of this entry want of each pool, by rank, and knows what those of all
 * entries want. Thread safe.
 */
public final class DemandMeter {

  /** Limits the pools and ranks that are told apart, which come from the configuration. */
  private static final int MAX_KEYS = 256;

  /** The age from which the demand that other entries told is no longer used. */
  private static final Duration MAX_FLEET_AGE = Duration.ofSeconds(1);

  private static final class Counts {
    private int arrivals;
    private double workMillis;
    private int refusals;
    private int waiting;
  }

  private final Map<PoolDemand.Key, Counts> counts = new HashMap<>();
  private Map<PoolDemand.Key, PoolDemand> own = Map.of();
  private Map<PoolDemand.Key, PoolDemand> fleet = Map.of();
  private int entries = 1;
  private long fleetNanos;

  /**
   * Records a request of a caller of this entry.
   *
   * @param request the request, not null
   * @param workMillis its expected processing time in milliseconds, 0 if not known
   */
  public synchronized void onArrival(RequestDescriptor request, double workMillis) {
    Counts found = get(request);
    found.arrivals++;
    found.workMillis += workMillis;
  }

  /**
   * Records a request that was refused for lack of capacity.
   *
   * @param request the request, not null
   */
  public synchronized void onRefusal(RequestDescriptor request) {
    get(request).refusals++;
  }

  /**
   * Records that a request begins to wait, or no longer waits.
   *
   * @param request the request, not null
   * @param change 1 or -1
   */
  public synchronized void onWaiting(RequestDescriptor request, int change) {
    Counts found = get(request);
    found.waiting = Math.max(0, found.waiting + change);
  }

  private Counts get(RequestDescriptor request) {
    PoolDemand.Key key = new PoolDemand.Key(request.pool(), request.rank());
    Counts found = counts.get(key);
    if (found != null) {
      return found;
    }
    Counts created = new Counts();
    if (counts.size() < MAX_KEYS) {
      counts.put(key, created);
    }
    return created;
  }

  /**
   * Returns the demand since the last call.
   *
   * @param seconds the time since the last call, 0 if there was none
   */
  synchronized Map<PoolDemand.Key, PoolDemand> take(double seconds) {
    Map<PoolDemand.Key, PoolDemand> taken = new HashMap<>();
    counts.forEach(
        (key, c) -> {
          double perSecond = seconds > 0 ? 1 / seconds : 0;
          taken.put(
              key,
              new PoolDemand(
                  c.arrivals * perSecond,
                  c.workMillis * perSecond,
                  c.refusals * perSecond,
                  c.waiting));
          c.arrivals = 0;
          c.workMillis = 0;
          c.refusals = 0;
        });
    counts.values().removeIf(c -> c.waiting == 0);
    own = taken;
    return taken;
  }

  /** Records the demand of all entries at a time. */
  synchronized void onFleetLoad(FleetLoad total, long toldNanos) {
    fleet = total.demands();
    entries = Math.max(1, total.entries());
    fleetNanos = toldNanos;
  }

  /**
   * Returns the rates at which callers of all entries send requests for a pool. An entry that has
   * heard nothing for a second takes the callers of the others for similar to its own.
   *
   * @param pool the pool, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return the requests per second by rank, never null
   */
  public synchronized Map<Rank, Double> getArrivalRates(String pool, long nowNanos) {
    boolean isTold = nowNanos - fleetNanos < MAX_FLEET_AGE.toNanos() && !fleet.isEmpty();
    Map<Rank, Double> rates = new HashMap<>();
    (isTold ? fleet : own)
        .forEach(
            (key, demand) -> {
              if (key.pool().equals(pool)) {
                rates.put(key.rank(), demand.arrivalsPerSecond() * (isTold ? 1 : entries));
              }
            });
    return rates;
  }
}
