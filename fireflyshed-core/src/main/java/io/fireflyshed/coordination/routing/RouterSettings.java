package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.instance.AvailabilityZone;
import java.time.Duration;
import java.util.Objects;

/**
 * Configures an {@link AffinityRouter}.
 *
 * @param zone the availability zone of this process, not null
 * @param blockCost the time that an engine needs to compute one block of a prompt, not null
 * @param loadCost the time by which each request on a replica delays a new request, not null
 * @param zoneCost the additional latency to a replica in another zone, not null
 * @param loadBound the load of a replica, as a multiple of the mean, above which it is avoided,
 *     above 1
 * @param maxBlocks the maximum number of prompt blocks in the prefix index, 1 or more
 * @param ejectRatio the time between tokens, as a multiple of the median over the replicas, above
 *     which a replica is ejected, greater than the readmit ratio
 * @param readmitRatio the multiple of the median below which a replica is readmitted, 1 or more
 */
public record RouterSettings(
    AvailabilityZone zone,
    Duration blockCost,
    Duration loadCost,
    Duration zoneCost,
    double loadBound,
    int maxBlocks,
    double ejectRatio,
    double readmitRatio) {

  private static final Duration BLOCK_COST = Duration.ofMillis(1);
  private static final Duration LOAD_COST = Duration.ofNanos(1_500_000);
  private static final double LOAD_BOUND = 2;
  private static final int MAX_BLOCKS = 200_000;
  private static final double EJECT_RATIO = 2.2;
  private static final double READMIT_RATIO = 1.5;

  /** Validates the components. */
  public RouterSettings {
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(blockCost, "blockCost");
    Objects.requireNonNull(loadCost, "loadCost");
    Objects.requireNonNull(zoneCost, "zoneCost");
    if (!(loadBound > 1)) {
      throw new IllegalArgumentException("loadBound must be above 1: " + loadBound);
    }
    if (maxBlocks < 1) {
      throw new IllegalArgumentException("maxBlocks must be positive: " + maxBlocks);
    }
    if (!(readmitRatio >= 1 && ejectRatio > readmitRatio)) {
      throw new IllegalArgumentException(
          "1 <= readmitRatio < ejectRatio must hold: " + readmitRatio + ", " + ejectRatio);
    }
  }

  /**
   * Creates settings with default values.
   *
   * @param zone the availability zone of this process, not null
   * @param zoneCost the additional latency to a replica in another zone, not null
   * @return the settings, never null
   */
  public static RouterSettings of(AvailabilityZone zone, Duration zoneCost) {
    return new RouterSettings(
        zone, BLOCK_COST, LOAD_COST, zoneCost, LOAD_BOUND, MAX_BLOCKS, EJECT_RATIO, READMIT_RATIO);
  }
}
