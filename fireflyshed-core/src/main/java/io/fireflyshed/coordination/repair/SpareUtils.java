package io.fireflyshed.coordination.repair;

import java.util.List;

/**
 * Computes how many spare instances a fabric domain should hold.
 *
 * <p>The number of instances that are down at the same time is assumed to follow a Poisson
 * distribution. A spare is worth holding as long as the downtime and stranding that it is expected
 * to save outweigh its own stranding, which is the newsvendor problem (Arrow, Harris and Marschak,
 * "Optimal inventory policy", 1951).
 */
public final class SpareUtils {

  private static final int MAX_SPARES = 64;
  private static final int MAX_DOWN = 256;

  private SpareUtils() {}

  /**
   * Returns the number of spares with the least expected cost.
   *
   * <p>For example, the result is 1 for a domain of 88 instances, 0.04 of which are down on
   * average, with replicas of 4 instances, 2 accelerators per instance and the weights of Harwood.
   *
   * @param weights the weights, not null
   * @param meanDown the average number of instances that are down at the same time, not negative
   * @param instancesPerReplica the number of instances in each replica, 1 or more
   * @param accelerators the number of accelerators of each instance, 1 or more
   * @return the number of spares, 0 or more
   */
  public static int getSpares(
      RepairWeights weights, double meanDown, int instancesPerReplica, int accelerators) {
    if (!(meanDown >= 0) || instancesPerReplica < 1 || accelerators < 1) {
      throw new IllegalArgumentException(
          "meanDown must not be negative, instancesPerReplica and accelerators must be 1 or more");
    }
    double lowestCost = getCostRate(weights, meanDown, 0, instancesPerReplica, accelerators);
    for (int spares = 1; spares <= MAX_SPARES; spares++) {
      double cost = getCostRate(weights, meanDown, spares, instancesPerReplica, accelerators);
      if (cost >= lowestCost) {
        return spares - 1;
      }
      lowestCost = cost;
    }
    return MAX_SPARES;
  }

  /**
   * Returns the weights to use for the coming lead time, so that spares are in place before a peak
   * begins.
   *
   * @param weights the weights outside peaks, not null
   * @param peaks the announced peaks, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @param leadNanos how far to look ahead, in nanoseconds
   * @return the weights with the highest factor within the lead time, never null
   */
  public static RepairWeights getPeakWeights(
      RepairWeights weights, List<DemandPeak> peaks, long nowNanos, long leadNanos) {
    double factor =
        peaks.stream()
            .filter(p -> p.isOverlapping(nowNanos, nowNanos + leadNanos))
            .mapToDouble(DemandPeak::factor)
            .max()
            .orElse(1);
    return new RepairWeights(weights.groupDowntime() * factor, weights.strandedAccelerator());
  }

  private static double getCostRate(
      RepairWeights weights, double meanDown, int spares, int size, int accelerators) {
    double probability = Math.exp(-meanDown);
    double cost = 0;
    for (int downInstances = 0; downInstances <= MAX_DOWN; downInstances++) {
      int idleSpares = Math.max(0, spares - downInstances);
      int missing = Math.max(0, downInstances - spares);
      int downReplicas = (missing + size - 1) / size;
      double stranded = accelerators * (double) (idleSpares + downReplicas * size - missing);
      cost += probability * weights.getCost(downReplicas, stranded);
      probability *= meanDown / (downInstances + 1);
    }
    return cost;
  }
}
