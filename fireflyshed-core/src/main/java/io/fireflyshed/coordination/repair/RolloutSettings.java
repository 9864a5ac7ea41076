package io.fireflyshed.coordination.repair;

/**
 * Limits on planned changes that take complete replicas out of service, such as a change of the
 * model version. Immutable.
 *
 * @param floorShare the share of the wanted replicas of a service that must stay complete, 0 to 1
 * @param maxChanging the number of replicas of a service that may be changing at once, 1 or more
 */
public record RolloutSettings(double floorShare, int maxChanging) {

  private static final double DEFAULT_FLOOR_SHARE = 0.75;

  /** Validates the components. */
  public RolloutSettings {
    if (!(floorShare >= 0 && floorShare <= 1)) {
      throw new IllegalArgumentException("floorShare must be 0 to 1: " + floorShare);
    }
    if (maxChanging < 1) {
      throw new IllegalArgumentException("maxChanging must be positive: " + maxChanging);
    }
  }

  /**
   * Returns the default settings, which change one replica of a service at a time and keep three
   * quarters of its replicas complete.
   *
   * @return the settings, never null
   */
  public static RolloutSettings ofDefaults() {
    return new RolloutSettings(DEFAULT_FLOOR_SHARE, 1);
  }

  /**
   * Returns how many replicas of a service must stay complete. One replica may always be taken out
   * of service, since the service could never change otherwise.
   *
   * @param wanted the number of wanted replicas of the service, 0 or more
   * @return the number of replicas, 0 or more
   */
  public int getFloor(int wanted) {
    return (int) Math.max(0, Math.min(wanted - 1L, (long) Math.ceil(wanted * floorShare)));
  }

  /**
   * Returns how many complete replicas may be taken out of service now.
   *
   * @param wanted the number of wanted replicas of the service, 0 or more
   * @param complete the number of wanted replicas that are complete, 0 or more
   * @return the number of replicas, 0 or more
   */
  public int getAllowance(int wanted, int complete) {
    int changing = Math.max(0, wanted - complete);
    return Math.max(0, Math.min(complete - getFloor(wanted), maxChanging - changing));
  }
}
