package io.fireflyshed.coordination.health;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Judges instances by their probes, with hysteresis against pauses, late answers and instances that
 * come and go.
 *
 * <p>It says whether an instance is worth waiting for or placing; whether a replica may serve is
 * decided by {@link io.fireflyshed.coordination.gate.ServingGate} alone. Each failure or restart
 * adds one to a penalty that decays by half-lives; an instance is unstable from when the penalty
 * exceeds one bound until it falls below a lower one, as in RFC 2439, "BGP Route Flap Damping". Not
 * thread safe; belongs to the control thread.
 */
public final class HealthTracker {

  private static final class Track {
    private BootId boot;
    private long lastAnswerNanos;
    private boolean isFailing;
    private int slowRun;
    private int timelyRun;
    private boolean isSlow;
    private double penalty;
    private long penaltyNanos;
    private boolean isUnstable;
    private InstanceHealth health = InstanceHealth.SUSPECT;
    private long sinceNanos;
  }

  private final HealthSettings settings;
  private final Map<InstanceId, Track> tracks = new HashMap<>();

  /**
   * Creates a tracker that knows no instance.
   *
   * @param settings the bounds, not null
   */
  public HealthTracker(HealthSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /**
   * Takes in an answer to a probe.
   *
   * @param instance the instance, not null
   * @param boot the boot id that it named, not null
   * @param sentNanos the reading of the monotonic clock before the probe was sent
   * @param nowNanos the reading after the answer came
   */
  public void onAnswer(InstanceId instance, BootId boot, long sentNanos, long nowNanos) {
    Track track = getTrack(instance, nowNanos);
    if (track.boot != null && !track.boot.equals(boot) && !track.isFailing) {
      addPenalty(track, nowNanos);
    }
    track.boot = boot;
    track.isFailing = false;
    track.lastAnswerNanos = nowNanos;
    boolean isLate = nowNanos - sentNanos > settings.slowAnswer().toNanos();
    track.slowRun = isLate ? track.slowRun + 1 : 0;
    track.timelyRun = isLate ? 0 : track.timelyRun + 1;
    if (track.slowRun >= settings.slowCount()) {
      track.isSlow = true;
    } else if (track.timelyRun >= settings.slowCount()) {
      track.isSlow = false;
    }
  }

  /**
   * Takes in that a probe failed or a connection broke.
   *
   * @param instance the instance, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onFailure(InstanceId instance, long nowNanos) {
    Track track = getTrack(instance, nowNanos);
    if (!track.isFailing) {
      track.isFailing = true;
      addPenalty(track, nowNanos);
    }
  }

  /**
   * Gets the judgement of an instance.
   *
   * @param instance the instance, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the judgement, never null; an instance not heard of yet is suspect
   */
  public InstanceHealth getHealth(InstanceId instance, long nowNanos) {
    return update(getTrack(instance, nowNanos), nowNanos).health;
  }

  /**
   * Gets when the present judgement of an instance began.
   *
   * @param instance the instance, not null
   * @param nowNanos the reading of the monotonic clock
   * @return a reading of the monotonic clock
   */
  public long getSinceNanos(InstanceId instance, long nowNanos) {
    return update(getTrack(instance, nowNanos), nowNanos).sinceNanos;
  }

  /**
   * Forgets the instances that are no longer listed.
   *
   * @param listed the instances to keep, not null
   */
  public void retain(Set<InstanceId> listed) {
    tracks.keySet().retainAll(listed);
  }

  private Track getTrack(InstanceId instance, long nowNanos) {
    Objects.requireNonNull(instance, "instance");
    return tracks.computeIfAbsent(
        instance,
        i -> {
          Track track = new Track();
          track.lastAnswerNanos = nowNanos;
          track.penaltyNanos = nowNanos;
          track.sinceNanos = nowNanos;
          return track;
        });
  }

  private void addPenalty(Track track, long nowNanos) {
    decay(track, nowNanos);
    track.penalty += 1;
  }

  private void decay(Track track, long nowNanos) {
    double halfLives =
        (double) (nowNanos - track.penaltyNanos) / settings.penaltyHalfLife().toNanos();
    track.penalty *= Math.pow(0.5, halfLives);
    track.penaltyNanos = nowNanos;
  }

  private Track update(Track track, long nowNanos) {
    decay(track, nowNanos);
    if (track.penalty > settings.suppressPenalty()) {
      track.isUnstable = true;
    } else if (track.penalty < settings.reusePenalty()) {
      track.isUnstable = false;
    }
    InstanceHealth health = judge(track, nowNanos);
    if (health != track.health) {
      track.health = health;
      track.sinceNanos = nowNanos;
    }
    return track;
  }

  private InstanceHealth judge(Track track, long nowNanos) {
    if (nowNanos - track.lastAnswerNanos >= settings.failAfter().toNanos()) {
      return InstanceHealth.FAILED;
    }
    if (track.isFailing || track.isSlow || track.boot == null) {
      return InstanceHealth.SUSPECT;
    }
    return track.isUnstable ? InstanceHealth.UNSTABLE : InstanceHealth.HEALTHY;
  }
}
