package io.fireflyshed.coordination.repair;

import java.util.List;

/**
 * Sizes the spare instances of a fabric domain.
 *
 * <p>The number of instances that are out at one time is taken as Poisson distributed. A spare is
 * worth holding while the expected downtime and stranding that it saves outweigh its own stranding,
 * which is the newsvendor problem (Arrow, Harris and Marschak, "Optimal inventory policy", 1951).
 */
public final class SpareUtils {

  private static final int MAX_SPARES = 64;
  private static final int MAX_OUT = 256;

  private SpareUtils() {}

  /**
   * Gets the number of spares of least expected cost.
   *
   * <p>For example, a domain of 88 instances with 0.04 of them out on average, replicas of 4
   * instances with 2 accelerators each and the weights of Harwood gets 1.
   *
   * @param weights the weights, not null
   * @param meanOut the average number of instances that are out at one time, not negative
   * @param instancesPerReplica the instances in each replica, 1 or more
   * @param accelerators the accelerators of each instance, 1 or more
   * @return the number of spares, 0 or more
   */
  public static int getSpares(
      RepairWeights weights, double meanOut, int instancesPerReplica, int accelerators) {
    if (!(meanOut >= 0) || instancesPerReplica < 1 || accelerators < 1) {
      throw new IllegalArgumentException("meanOut, instancesPerReplica or accelerators too small");
    }
    double best = getCostRate(weights, meanOut, 0, instancesPerReplica, accelerators);
    for (int spares = 1; spares <= MAX_SPARES; spares++) {
      double cost = getCostRate(weights, meanOut, spares, instancesPerReplica, accelerators);
      if (cost >= best) {
        return spares - 1;
      }
      best = cost;
    }
    return MAX_SPARES;
  }

  /**
   * Gets the weights that hold within a lead time, so that spares are there before a peak begins.
   *
   * @param weights the weights outside peaks, not null
   * @param peaks the announced peaks, not null
   * @param fromNanos the current reading of the monotonic clock
   * @param leadNanos how far to look ahead, in nanoseconds
   * @return the weights with the highest factor within the lead time, never null
   */
  public static RepairWeights getPeakWeights(
      RepairWeights weights, List<DemandPeak> peaks, long fromNanos, long leadNanos) {
    double factor =
        peaks.stream()
            .filter(p -> p.isWithin(fromNanos, fromNanos + leadNanos))
            .mapToDouble(DemandPeak::factor)
            .max()
            .orElse(1);
    return new RepairWeights(weights.groupDowntime() * factor, weights.strandedAccelerator());
  }

  private static double getCostRate(
      RepairWeights weights, double meanOut, int spares, int size, int accelerators) {
    double probability = Math.exp(-meanOut);
    double cost = 0;
    for (int out = 0; out <= MAX_OUT; out++) {
      int idle = Math.max(0, spares - out);
      int lacking = Math.max(0, out - spares);
      int down = (lacking + size - 1) / size;
      double stranded = accelerators * (double) (idle + down * size - lacking);
      cost += probability * weights.getCost(down, stranded);
      probability *= meanOut / (out + 1);
    }
    return cost;
  }
}
