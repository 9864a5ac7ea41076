package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.instance.AvailabilityZone;
import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of {@link AffinityRouter}.
 *
 * @param zone the availability zone of this process, not null
 * @param blockCost the time that an engine needs to compute one block of a prompt, not null
 * @param loadCost the time by which one more request on an engine delays the next one, not null
 * @param zoneCost the time by which another zone is farther away, not null
 * @param loadBound the most load of a replica as a multiple of the mean, above 1
 * @param maxBlocks the most blocks that are remembered, 1 or more
 * @param ejectRatio the time between tokens, as a multiple of the median over replicas, at which a
 *     replica is ejected, above the ratio of return
 * @param returnRatio the multiple at which it returns, 1 or more
 */
public record RouterSettings(
    AvailabilityZone zone,
    Duration blockCost,
    Duration loadCost,
    Duration zoneCost,
    double loadBound,
    int maxBlocks,
    double ejectRatio,
    double returnRatio) {

  private static final Duration BLOCK_COST = Duration.ofMillis(1);
  private static final Duration LOAD_COST = Duration.ofNanos(1_500_000);
  private static final double LOAD_BOUND = 2;
  private static final int MAX_BLOCKS = 200_000;
  private static final double EJECT_RATIO = 2.2;
  private static final double RETURN_RATIO = 1.5;

  /** Checks the parts of the record. */
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
    if (!(returnRatio >= 1 && ejectRatio > returnRatio)) {
      throw new IllegalArgumentException(
          "1 <= returnRatio < ejectRatio must hold: " + returnRatio + ", " + ejectRatio);
    }
  }

  /**
   * Creates the default settings.
   *
   * @param zone the availability zone of this process, not null
   * @param zoneCost the time by which another zone is farther away, not null
   * @return the settings, never null
   */
  public static RouterSettings of(AvailabilityZone zone, Duration zoneCost) {
    return new RouterSettings(
        zone, BLOCK_COST, LOAD_COST, zoneCost, LOAD_BOUND, MAX_BLOCKS, EJECT_RATIO, RETURN_RATIO);
  }
}
