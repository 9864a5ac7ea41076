package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.traffic.Rank;
import java.util.Objects;

/**
 * Holds what callers want of the targets of a pool, for one rank. Immutable.
 *
 * @param arrivalsPerSecond the rate of requests
 * @param workMillisPerSecond the processing time of the arrivals of a second, as expected, 0 if not
 *     known
 * @param refusalsPerSecond the rate of requests that were refused for lack of capacity
 * @param waiting the number of requests that wait at the entries
 */
public record PoolDemand(
    double arrivalsPerSecond, double workMillisPerSecond, double refusalsPerSecond, int waiting) {

  /**
   * Identifies the requests of one rank for one pool.
   *
   * @param pool the name of the pool, not null
   * @param rank the rank, not null
   */
  public record Key(String pool, Rank rank) {

    /** Validates the components. */
    public Key {
      Objects.requireNonNull(pool, "pool");
      Objects.requireNonNull(rank, "rank");
    }
  }

  /** Validates the components. */
  public PoolDemand {
    if (!(arrivalsPerSecond >= 0)
        || !(workMillisPerSecond >= 0)
        || !(refusalsPerSecond >= 0)
        || waiting < 0) {
      throw new IllegalArgumentException("negative demand");
    }
  }

  PoolDemand plus(PoolDemand other) {
    return new PoolDemand(
        arrivalsPerSecond + other.arrivalsPerSecond,
        workMillisPerSecond + other.workMillisPerSecond,
        refusalsPerSecond + other.refusalsPerSecond,
        waiting + other.waiting);
  }

  PoolDemand minus(PoolDemand other) {
    return new PoolDemand(
        Math.max(0, arrivalsPerSecond - other.arrivalsPerSecond),
        Math.max(0, workMillisPerSecond - other.workMillisPerSecond),
        Math.max(0, refusalsPerSecond - other.refusalsPerSecond),
        Math.max(0, waiting - other.waiting));
  }
}
