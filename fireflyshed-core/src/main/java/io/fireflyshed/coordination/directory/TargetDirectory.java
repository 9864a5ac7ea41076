package io.fireflyshed.coordination.directory;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks the targets that the registry lists.
 *
 * <p>A target that is removed from the registry is dropped at once, except after an outage of the
 * registry. Registrations of running targets expire during an outage and are renewed shortly after
 * it, so targets that are missing right after an outage are kept until a grace period has passed. A
 * target that announced that it is leaving stays marked as leaving until it restarts. Not thread
 * safe; used on the control thread only.
 */
public final class TargetDirectory {

  private final Duration outageThreshold;
  private final Duration gracePeriod;
  private final Map<InstanceId, Target> targets = new HashMap<>();
  private final Map<InstanceId, Long> missingUntilNanos = new HashMap<>();
  private long version;
  private long lastReadNanos;
  private long graceUntilNanos;
  private boolean hasRead;

  /**
   * Creates an empty directory.
   *
   * @param outageThreshold the time without a read of the registry that counts as an outage, not
   *     null
   * @param gracePeriod the time after an outage for which missing targets are kept, not null
   */
  public TargetDirectory(Duration outageThreshold, Duration gracePeriod) {
    this.outageThreshold = Objects.requireNonNull(outageThreshold, "outageThreshold");
    this.gracePeriod = Objects.requireNonNull(gracePeriod, "gracePeriod");
  }

  /**
   * Applies the result of a read of the registry.
   *
   * @param changes the result, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the targets that were added, changed or removed, never null
   */
  public Set<InstanceId> apply(TargetChanges changes, long nowNanos) {
    if (hasRead && nowNanos - lastReadNanos > outageThreshold.toNanos()) {
      graceUntilNanos = nowNanos + gracePeriod.toNanos();
    }
    boolean isInGrace = hasRead && nowNanos - graceUntilNanos < 0;
    Set<InstanceId> changed = new HashSet<>();
    Set<InstanceId> missing = new HashSet<>(changes.removed());
    if (changes.isWhole()) {
      missing.addAll(targets.keySet());
    }
    for (Target target : changes.updated()) {
      missing.remove(target.id());
      missingUntilNanos.remove(target.id());
      if (!target.equals(targets.put(target.id(), preserveLeaving(target)))) {
        changed.add(target.id());
      }
    }
    for (InstanceId id : missing) {
      if (isInGrace && targets.containsKey(id)) {
        missingUntilNanos.putIfAbsent(id, graceUntilNanos);
      } else if (targets.remove(id) != null) {
        changed.add(id);
      }
    }
    version = Math.max(version, changes.version());
    lastReadNanos = nowNanos;
    hasRead = true;
    changed.addAll(expire(nowNanos));
    return changed;
  }

  private Target preserveLeaving(Target target) {
    Target known = targets.get(target.id());
    boolean isMarkedLeaving =
        known != null && known.isLeaving() && known.startMillis() == target.startMillis();
    if (!isMarkedLeaving || target.isLeaving()) {
      return target;
    }
    return new Target(
        target.id(),
        target.service(),
        target.address(),
        target.zone(),
        true,
        target.slots(),
        target.startMillis(),
        target.membership());
  }

  /**
   * Removes the missing targets whose grace period has passed.
   *
   * @param nowNanos the current time of the monotonic clock
   * @return the targets that were removed, never null
   */
  public Set<InstanceId> expire(long nowNanos) {
    Set<InstanceId> removed = new HashSet<>();
    missingUntilNanos
        .entrySet()
        .removeIf(
            e -> {
              if (nowNanos - e.getValue() < 0) {
                return false;
              }
              targets.remove(e.getKey());
              return removed.add(e.getKey());
            });
    return removed;
  }

  /**
   * Returns the version of the registry up to which the directory is complete.
   *
   * @return the version, 0 before the first read
   */
  public long getVersion() {
    return version;
  }

  /**
   * Returns the targets, including those that are leaving.
   *
   * @return a copy, never null
   */
  public List<Target> getTargets() {
    return new ArrayList<>(targets.values());
  }
}
