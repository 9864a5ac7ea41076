package io.fireflyshed.coordination.repair;

/**
 * Weighs the two costs of an outage against each other. Immutable.
 *
 * <p>Only the ratio of the weights matters. For example, {@code new RepairWeights(360, 1)} says
 * that one second without a wanted replica costs as much as 360 seconds of one idle accelerator.
 *
 * @param groupDowntime the cost of one second during which one wanted replica does not serve,
 *     positive and finite
 * @param strandedAccelerator the cost of one second during which one held accelerator serves in no
 *     whole replica, positive and finite
 */
public record RepairWeights(double groupDowntime, double strandedAccelerator) {

  private static final double HARWOOD_GROUP_DOWNTIME = 360;
  private static final double VIITEKULMA_GROUP_DOWNTIME = 4;

  /** Checks the weights. */
  public RepairWeights {
    requirePositive("groupDowntime", groupDowntime);
    requirePositive("strandedAccelerator", strandedAccelerator);
  }

  /**
   * Gets the example for Harwood, where a caller waits in person for every lost second.
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
   * Gets the example for Viitekulma, whose margins are thin.
   *
   * <p>A late answer costs a margin of about 12 an hour for each replica, and an accelerator costs
   * 3 an hour: 12 / 3 = 4. A {@link DemandPeak} raises the first weight before a submission date.
   *
   * @return the weights, never null
   */
  public static RepairWeights ofViitekulma() {
    return new RepairWeights(VIITEKULMA_GROUP_DOWNTIME, 1);
  }

  /**
   * Gets the weighted sum of both measures.
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
