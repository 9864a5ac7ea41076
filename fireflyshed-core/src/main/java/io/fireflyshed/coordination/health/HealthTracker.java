package io.fireflyshed.coordination.health;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Classifies the health of instances by their probes, with hysteresis against pauses, slow answers
 * and flapping.
 *
 * <p>The result tells whether to wait for an instance and whether to place it in a replica. Whether
 * a replica may serve is decided by {@link io.fireflyshed.coordination.gate.ServingGate} alone.
 * Each failure or restart adds one to a penalty that decays exponentially. An instance becomes
 * unstable when its penalty exceeds an upper threshold, and stays unstable until the penalty falls
 * below a lower one, as in RFC 2439, "BGP Route Flap Damping". Not thread safe; must be used on the
 * control thread.
 */
public final class HealthTracker {

  private static final class ProbeState {
    private BootId boot;
    private long lastAnswerNanos;
    private boolean isFailing;
    private int consecutiveSlow;
    private int consecutiveTimely;
    private boolean isSlow;
    private double penalty;
    private long penaltyUpdatedNanos;
    private boolean isUnstable;
    private InstanceHealth health = InstanceHealth.SUSPECT;
    private long sinceNanos;
  }

  private final HealthSettings settings;
  private final Map<InstanceId, ProbeState> states = new HashMap<>();

  /**
   * Creates a tracker without instances.
   *
   * @param settings the thresholds, not null
   */
  public HealthTracker(HealthSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Records the answer to a probe.
   *
   * @param instance the instance, not null
   * @param boot the boot id in the answer, not null
   * @param sentNanos the monotonic clock reading, in nanoseconds, taken before the probe was sent
   * @param nowNanos the reading taken when the answer arrived
   */
  public void onAnswer(InstanceId instance, BootId boot, long sentNanos, long nowNanos) {
    ProbeState state = getState(instance, nowNanos);
    if (state.boot != null && !state.boot.equals(boot) && !state.isFailing) {
      addPenalty(state, nowNanos);
    }
    state.boot = boot;
    state.isFailing = false;
    state.lastAnswerNanos = nowNanos;
    boolean isAnswerSlow = nowNanos - sentNanos > settings.slowThreshold().toNanos();
    state.consecutiveSlow = isAnswerSlow ? state.consecutiveSlow + 1 : 0;
    state.consecutiveTimely = isAnswerSlow ? 0 : state.consecutiveTimely + 1;
    if (state.consecutiveSlow >= settings.slowCount()) {
      state.isSlow = true;
    } else if (state.consecutiveTimely >= settings.slowCount()) {
      state.isSlow = false;
    }
  }

  /**
   * Records that a probe failed or a connection broke.
   *
   * @param instance the instance, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   */
  public void onFailure(InstanceId instance, long nowNanos) {
    ProbeState state = getState(instance, nowNanos);
    if (!state.isFailing) {
      state.isFailing = true;
      addPenalty(state, nowNanos);
    }
  }

  /**
   * Returns the health of an instance.
   *
   * @param instance the instance, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the health, never null; an instance without any answer yet is suspect
   */
  public InstanceHealth getHealth(InstanceId instance, long nowNanos) {
    return update(getState(instance, nowNanos), nowNanos).health;
  }

  /**
   * Returns when the present health of an instance began.
   *
   * @param instance the instance, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   * @return the monotonic clock reading, in nanoseconds
   */
  public long getSinceNanos(InstanceId instance, long nowNanos) {
    return update(getState(instance, nowNanos), nowNanos).sinceNanos;
  }

  /**
   * Removes the state of all instances other than the given ones.
   *
   * @param listed the instances to keep, not null
   */
  public void retain(Set<InstanceId> listed) {
    states.keySet().retainAll(listed);
  }

  private ProbeState getState(InstanceId instance, long nowNanos) {
    Objects.requireNonNull(instance, "instance");
    return states.computeIfAbsent(
        instance,
        i -> {
          ProbeState state = new ProbeState();
          state.lastAnswerNanos = nowNanos;
          state.penaltyUpdatedNanos = nowNanos;
          state.sinceNanos = nowNanos;
          return state;
        });
  }

  private void addPenalty(ProbeState state, long nowNanos) {
    decayPenalty(state, nowNanos);
    state.penalty += 1;
  }

  private void decayPenalty(ProbeState state, long nowNanos) {
    double halfLives =
        (double) (nowNanos - state.penaltyUpdatedNanos) / settings.penaltyHalfLife().toNanos();
    state.penalty *= Math.pow(0.5, halfLives);
    state.penaltyUpdatedNanos = nowNanos;
  }

  private ProbeState update(ProbeState state, long nowNanos) {
    decayPenalty(state, nowNanos);
    if (state.penalty > settings.suppressPenalty()) {
      state.isUnstable = true;
    } else if (state.penalty < settings.reusePenalty()) {
      state.isUnstable = false;
    }
    InstanceHealth health = classify(state, nowNanos);
    if (health != state.health) {
      state.health = health;
      state.sinceNanos = nowNanos;
    }
    return state;
  }

  private InstanceHealth classify(ProbeState state, long nowNanos) {
    if (nowNanos - state.lastAnswerNanos >= settings.failureTimeout().toNanos()) {
      return InstanceHealth.FAILED;
    }
    if (state.isFailing || state.isSlow || state.boot == null) {
      return InstanceHealth.SUSPECT;
    }
    return state.isUnstable ? InstanceHealth.UNSTABLE : InstanceHealth.HEALTHY;
  }
}
