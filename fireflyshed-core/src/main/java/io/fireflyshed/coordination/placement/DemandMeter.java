package io.fireflyshed.coordination.placement;

import java.util.HashMap;
import java.util.Map;

/** Measures what the callers of this entry want of each pool, by rank. Thread safe. */
public final class DemandMeter {

  /** Limits the pools and ranks that are told apart, which come from the configuration. */
  private static final int MAX_KEYS = 256;

  private static final class Counts {
    private int arrivals;
    private double workMillis;
    private int refusals;
    private int waiting;
  }

  private final Map<PoolDemand.Key, Counts> counts = new HashMap<>();

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
    return taken;
  }
}
