package io.fireflyshed.coordination.repair;

/**
 * Bounds changes that close whole replicas on purpose, such as another model version. Immutable.
 *
 * @param floorShare the share of a service's wanted replicas that must stay whole, 0 to 1
 * @param maxChanging the number of replicas of a service that may be in change at once, 1 or more
 */
public record RolloutSettings(double floorShare, int maxChanging) {

  private static final double DEFAULT_FLOOR_SHARE = 0.75;

  /** Checks the parts of the record. */
  public RolloutSettings {
    if (!(floorShare >= 0 && floorShare <= 1)) {
      throw new IllegalArgumentException("floorShare must be 0 to 1: " + floorShare);
    }
    if (maxChanging < 1) {
      throw new IllegalArgumentException("maxChanging must be positive: " + maxChanging);
    }
  }

  /**
   * Creates settings that change one replica after another and keep three quarters whole.
   *
   * @return the settings, never null
   */
  public static RolloutSettings ofDefaults() {
    return new RolloutSettings(DEFAULT_FLOOR_SHARE, 1);
  }

  /**
   * Gets how many replicas of a service must stay whole. At least one may always be closed, because
   * the service could never change otherwise.
   *
   * @param wanted the wanted replicas of the service, 0 or more
   * @return the number, 0 or more
   */
  public int getFloor(int wanted) {
    return (int) Math.max(0, Math.min(wanted - 1L, (long) Math.ceil(wanted * floorShare)));
  }

  /**
   * Gets how many whole replicas may be closed now.
   *
   * @param wanted the wanted replicas of the service, 0 or more
   * @param whole the replicas of these that are whole, 0 or more
   * @return the number, 0 or more
   */
  public int getAllowance(int wanted, int whole) {
    int changing = Math.max(0, wanted - whole);
    return Math.max(0, Math.min(whole - getFloor(wanted), maxChanging - changing));
  }
}
