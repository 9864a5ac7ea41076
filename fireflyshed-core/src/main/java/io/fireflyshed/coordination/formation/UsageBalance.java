package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.traffic.ModelProfile;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares models by how busy their replicas are. Each keeps a replica, and a second one where the
 * others can spare it. The usage is smoothed, since engines take many seconds to change their
 * model. Not thread safe.
 */
final class UsageBalance implements ModelBalance {

  /** The replicas that each model should have, so that one that is lost leaves another. */
  private static final int WANTED_REPLICAS = 2;

  /** Lower bound for the busy replicas of a model, so that the coverage stays finite. */
  private static final double MIN_BUSY = 0.1;

  /** The usage of its replicas from which a model needs more of them. */
  private static final double HIGH_USAGE = 0.75;

  /** The usage that the replicas of a model may reach by giving one up. */
  private static final double MODERATE_USAGE = 0.6;

  /** The time in which the smoothed usage covers 63% of the way to a new value. */
  private static final double SMOOTHING_SECONDS = 5;

  private final Map<String, Double> busyReplicas = new HashMap<>();
  private Map<String, Integer> zonesBefore = Map.of();
  private long lastNanos;

  /**
   * Records the usage of all models.
   *
   * @param busy the requests that run or wait, divided by the slots of a replica, by model, not
   *     null
   * @param nowNanos the current time of the monotonic clock
   */
  void recordUsage(Map<String, Double> busy, long nowNanos) {
    double seconds = (nowNanos - lastNanos) / 1e9;
    lastNanos = nowNanos;
    double weight = busyReplicas.isEmpty() ? 1 : 1 - Math.exp(-seconds / SMOOTHING_SECONDS);
    busy.forEach(
        (model, value) ->
            busyReplicas.merge(model, value, (old, next) -> old + weight * (next - old)));
  }

  /** Records the number of zones with replicas that give some before this one, by model. */
  void setZonesBefore(Map<String, Integer> zones) {
    zonesBefore = Map.copyOf(zones);
  }

  /** Tests whether any usage is known. */
  boolean isKnown() {
    return !busyReplicas.isEmpty();
  }

  private double getBusy(ModelProfile model) {
    return busyReplicas.getOrDefault(model.name(), 0.0);
  }

  @Override
  public double getCoverage(ModelProfile model, int replicas) {
    return replicas == 0 ? -getBusy(model) : replicas / Math.max(getBusy(model), MIN_BUSY);
  }

  @Override
  public boolean isMoveWorthwhile(
      ModelProfile donor,
      ModelProfile receiver,
      Map<String, Integer> replicas,
      boolean hasFreeEngines) {
    int received = replicas.get(receiver.name());
    int left = replicas.get(donor.name()) - countGiven(donor, receiver) - 1;
    if (left < 1) {
      return false;
    }
    if (received == 0) {
      return getBusy(donor) < left;
    }
    boolean isShort = getBusy(receiver) > HIGH_USAGE * received;
    boolean isSpare = getBusy(donor) < MODERATE_USAGE * left;
    return isSpare && (isShort || received < WANTED_REPLICAS && left >= WANTED_REPLICAS);
  }

  /** Counts the replicas that zones with the same picture may give at the same time. */
  private int countGiven(ModelProfile donor, ModelProfile receiver) {
    int givenByZone = (receiver.size() + donor.size() - 1) / donor.size();
    return zonesBefore.getOrDefault(donor.name(), 0) * givenByZone;
  }

  @Override
  public boolean isWaitWorthwhile(
      ModelProfile model, ModelProfile other, Map<String, Integer> replicas) {
    return isMoveWorthwhile(model, other, replicas, true);
  }
}
