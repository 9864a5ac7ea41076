package io.fireflyshed.coordination.repair;

/**
 * The relative weights of the two costs of an outage. Immutable.
 *
 * <p>Only the ratio of the weights matters. For example, {@code new RepairWeights(360, 1)} states
 * that one second without a wanted replica costs as much as 360 seconds of one idle accelerator.
 *
 * @param groupDowntime the cost of one second during which one wanted replica does not serve,
 *     positive and finite
 * @param strandedAccelerator the cost of one second during which one held accelerator does not
 *     serve in a complete replica, positive and finite
 */
public record RepairWeights(double groupDowntime, double strandedAccelerator) {

  private static final double HARWOOD_GROUP_DOWNTIME = 360;
  private static final double VIITEKULMA_GROUP_DOWNTIME = 4;

  /** Validates the weights. */
  public RepairWeights {
    requirePositive("groupDowntime", groupDowntime);
    requirePositive("strandedAccelerator", strandedAccelerator);
  }

  /**
   * Returns the example weights for Harwood, where callers wait in person while a replica is down.
   *
   * <p>A replica serves about 18 callers whose time costs 60 an hour, and an accelerator costs 3 an
   * hour: 18 * 60 / 3 = 360.
   *
   * @return the weights, never null
   */
  public static RepairWeights ofHarwood() {
    return new RepairWeights(HARWOOD_GROUP_DOWNTIME, 1);
  }

  /**
   * Returns the example weights for Viitekulma, whose margins are small.
   *
   * <p>Late answers cost a margin of about 12 an hour for each replica, and an accelerator costs 3
   * an hour: 12 / 3 = 4. A {@link DemandPeak} raises the weight of group downtime before a
   * submission date.
   *
   * @return the weights, never null
   */
  public static RepairWeights ofViitekulma() {
    return new RepairWeights(VIITEKULMA_GROUP_DOWNTIME, 1);
  }

  /**
   * Returns the weighted sum of the two costs.
   *
   * @param downtimeSeconds the group downtime, in replica-seconds
   * @param strandedSeconds the stranded accelerators, in accelerator-seconds
   * @return the cost, in units of the weights
   */
  public double getCost(double downtimeSeconds, double strandedSeconds) {
    return groupDowntime * downtimeSeconds + strandedAccelerator * strandedSeconds;
  }

  private static void requirePositive(String name, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(name + " must be positive and finite: " + value);
    }
  }
}
