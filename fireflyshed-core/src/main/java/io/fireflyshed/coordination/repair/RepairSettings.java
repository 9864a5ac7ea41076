package io.fireflyshed.coordination.repair;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a {@link RepairPlanner}. Immutable.
 *
 * @param weights the weights of the deployment, not null
 * @param loadTime how long one member takes to load its weights while no more than {@code
 *     loadSlots} load, positive, not null
 * @param loadSlots how many members the weight store serves at full rate at once, 1 or more
 * @param releaseTime how long it takes until a member that was taken away may be used again, not
 *     negative, not null
 * @param isWeightKept whether a member that stays in its place keeps its weights while another
 *     member is replaced; false if all members are unloaded and load again
 * @param unstableLosses how many recent losses make an instance unstable, 2 or more
 * @param stableTime how long an unstable instance must stay up to be used again; recent losses are
 *     forgotten at this pace too; positive, not null
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

  /** Checks the parts of the record. */
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
   * Creates settings with the weights of a deployment and defaults for the rest.
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
