package io.fireflyshed.coordination.repair;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a {@link RepairPlanner}. Immutable.
 *
 * @param weights the weights of the deployment, not null
 * @param loadTime how long one member takes to load its weights while at most {@code loadSlots}
 *     members load, positive, not null
 * @param loadSlots how many members can load from the weight store at full rate at once, 1 or more
 * @param releaseTime how long it takes until a member that was removed from a replica may be used
 *     again, not negative, not null
 * @param isWeightKept whether a member that stays in its position keeps its weights when another
 *     member is replaced; false if all members unload and load again
 * @param unstableLosses the number of recent losses that make an instance unstable, 2 or more
 * @param stableTime how long an unstable instance must stay up before it is used again, also the
 *     time constant of the decay of recent losses, positive, not null
 */
public record RepairSettings(
    RepairWeights weights,
    Duration loadTime,
    int loadSlots,
    Duration releaseTime,
    boolean isWeightKept,
    int unstableLosses,
    Duration stableTime) {

  private static final int DEFAULT_LOAD_SLOTS = 8;
  private static final int DEFAULT_UNSTABLE_LOSSES = 4;

  /** Validates the components. */
  public RepairSettings {
    Objects.requireNonNull(weights, "weights");
    requirePositive("loadTime", loadTime);
    if (loadSlots < 1) {
      throw new IllegalArgumentException("loadSlots must be positive: " + loadSlots);
    }
    Objects.requireNonNull(releaseTime, "releaseTime");
    if (releaseTime.isNegative()) {
      throw new IllegalArgumentException("releaseTime must not be negative: " + releaseTime);
    }
    if (unstableLosses < 2) {
      throw new IllegalArgumentException("unstableLosses must be 2 or more: " + unstableLosses);
    }
    requirePositive("stableTime", stableTime);
  }

  /**
   * Returns the default settings with the given weights.
   *
   * @param weights the weights, not null
   * @return the settings, never null
   */
  public static RepairSettings of(RepairWeights weights) {
    return new RepairSettings(
        weights,
        Duration.ofSeconds(120),
        DEFAULT_LOAD_SLOTS,
        Duration.ofSeconds(5),
        false,
        DEFAULT_UNSTABLE_LOSSES,
        Duration.ofMinutes(10));
  }

  private static void requirePositive(String name, Duration value) {
    Objects.requireNonNull(value, name);
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
