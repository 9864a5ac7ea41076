package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether this entry as a whole has lost its targets, rather than single targets having
 * failed.
 *
 * <p>The entry is impaired once several distinct targets failed, until any target accepts a new
 * connection. It is isolated, too, if no target of any service has given a sign of life since. The
 * first sign of life ends the isolation; an impaired entry that isn't isolated may have old
 * connections that go on while new ones fail. The failed targets are checked until one of them
 * accepts a connection, which shows that the entry was the cause of their failures. Thread safe.
 */
public final class ReachabilityMonitor {

  private final ReachabilitySettings settings;

  /** The times of the failures since the last new connection, by target. */
  private final Map<InstanceId, Long> failureNanos = new HashMap<>();

  /** The targets that failed before and during the impairment. */
  private final Set<InstanceId> suspects = new HashSet<>();

  /** Those of the suspects that accepted connections as far as is known, but were silent. */
  private final Set<InstanceId> silentSuspects = new HashSet<>();

  private boolean isImpaired;
  private boolean isIsolated;

  /** Whether the entry was isolated at any time of the last impairment. */
  private boolean wasIsolated;

  private long lastSignNanos;
  private long impairmentEndNanos;
  private long probes;

  /**
   * Creates a monitor of an entry that reaches its targets.
   *
   * @param settings the limits, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public ReachabilityMonitor(ReachabilitySettings settings, long nowNanos) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.lastSignNanos = nowNanos;
  }

  /**
   * Records that a target is silent. It counts like a failure, but is explained by an impairment
   * only if no other target gave a sign of life either.
   *
   * @param target the target, not null
   * @param listedTargets the number of targets that are listed now
   * @param nowNanos the current time of the monotonic clock
   * @return whether the entry became isolated by this failure
   */
  public synchronized boolean onSilence(InstanceId target, int listedTargets, long nowNanos) {
    if (!failureNanos.containsKey(target)) {
      silentSuspects.add(target);
    }
    return recordFailure(target, listedTargets, nowNanos);
  }

  /**
   * Records that no connection to a target could be established or that it was lost.
   *
   * @param target the target, not null
   * @param listedTargets the number of targets that are listed now
   * @param nowNanos the current time of the monotonic clock
   * @return whether the entry became isolated by this failure
   */
  public synchronized boolean onFailure(InstanceId target, int listedTargets, long nowNanos) {
    silentSuspects.remove(target);
    return recordFailure(target, listedTargets, nowNanos);
  }

  private boolean recordFailure(InstanceId target, int listedTargets, long nowNanos) {
    long windowNanos = settings.failureWindow().toNanos();
    failureNanos.values().removeIf(failedNanos -> nowNanos - failedNanos > windowNanos);
    failureNanos.put(target, nowNanos);
    int required = Math.min(settings.minFailedTargets(), Math.max(1, listedTargets));
    if (!isImpaired && failureNanos.size() >= required) {
      isImpaired = true;
      wasIsolated = false;
    }
    if (isImpaired) {
      suspects.addAll(failureNanos.keySet());
    }
    if (isIsolated || !isImpaired) {
      return false;
    }
    long failedSinceSign =
        failureNanos.values().stream().filter(nanos -> nanos - lastSignNanos > 0).count();
    boolean isSilent = nowNanos - lastSignNanos >= settings.minSilence().toNanos();
    isIsolated = isSilent && failedSinceSign >= required;
    wasIsolated |= isIsolated;
    return isIsolated;
  }

  /**
   * Records a response or an event of any target.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return whether this ended the isolation of the entry
   */
  public synchronized boolean onSignOfLife(long nowNanos) {
    boolean isIsolationEnd = isIsolated;
    isIsolated = false;
    lastSignNanos = nowNanos;
    return isIsolationEnd;
  }

  /**
   * Records that a target accepted a new connection, which is a sign of life.
   *
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the targets whose failures the entry's own impairment explains, empty if the target
   *     isn't one of them, never null
   */
  public synchronized Set<InstanceId> onConnected(InstanceId target, long nowNanos) {
    onSignOfLife(nowNanos);
    failureNanos.clear();
    if (isImpaired) {
      isImpaired = false;
      impairmentEndNanos = nowNanos;
    }
    Set<InstanceId> explained = new HashSet<>();
    if (suspects.contains(target)) {
      explained.addAll(suspects);
      if (!wasIsolated) {
        explained.removeAll(silentSuspects);
      }
    }
    if (suspects.contains(target) || !wasIsolated) {
      clearSuspects();
    }
    return explained;
  }

  private void clearSuspects() {
    suspects.clear();
    silentSuspects.clear();
  }

  /**
   * Selects the target to which a connection should be attempted now. While the entry is impaired,
   * the attempts alternate between the failed targets, which tell most, and all targets, since the
   * failed ones may be gone.
   *
   * @param listed all listed targets, not null
   * @param random selects one of several targets, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the target, empty if no attempt is needed, never null
   */
  public synchronized Optional<Target> selectProbeTarget(
      List<Target> listed, UniformRandomProvider random, long nowNanos) {
    if (!isImpaired && nowNanos - impairmentEndNanos > settings.recheckTime().toNanos()) {
      clearSuspects();
    }
    if (suspects.isEmpty()) {
      return Optional.empty();
    }
    List<Target> failed = listed.stream().filter(t -> suspects.contains(t.id())).toList();
    boolean isAnyTargetUseful = isImpaired && (failed.isEmpty() || probes % 2 == 1);
    List<Target> selectable = isAnyTargetUseful ? listed : failed;
    probes++;
    return selectable.isEmpty()
        ? Optional.empty()
        : Optional.of(selectable.get(random.nextInt(selectable.size())));
  }

  /**
   * Tests whether the entry reaches no target.
   *
   * @return true from the failure of several targets to the first sign of life of any
   */
  public synchronized boolean isIsolated() {
    return isIsolated;
  }

  /**
   * Tests whether new connections to targets probably fail.
   *
   * @return true from the failure of several targets to the first new connection to any
   */
  public synchronized boolean isImpaired() {
    return isImpaired;
  }
}
