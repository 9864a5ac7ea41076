package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairWeights;

/**
 * Holds both measures of a run.
 *
 * @param downtimeSeconds the group downtime, in replica-seconds
 * @param strandedSeconds the stranded accelerators, in accelerator-seconds
 */
public record RepairMeasures(double downtimeSeconds, double strandedSeconds) {

  /** The measures of nothing. */
  public static final RepairMeasures ZERO = new RepairMeasures(0, 0);

  /**
   * Adds the measures of another run.
   *
   * @param other the other run, not null
   * @return the sum, never null
   */
  public RepairMeasures plus(RepairMeasures other) {
    return new RepairMeasures(
        downtimeSeconds + other.downtimeSeconds, strandedSeconds + other.strandedSeconds);
  }

  /**
   * Gets the weighted sum.
   *
   * @param weights the weights, not null
   * @return the cost, in units of the weights
   */
  public double getCost(RepairWeights weights) {
    return weights.getCost(downtimeSeconds, strandedSeconds);
  }
}
