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
 * Keeps the targets that the registry lists.
 *
 * <p>A target that was taken off the list is gone. The exception is an outage of the registry: the
 * entries of living targets lapse meanwhile and come back shortly after it, so targets that are
 * found missing right after an outage are kept until a grace period has passed. A target that
 * announced its leaving stays marked until it starts anew. Not thread safe; belongs to the control
 * thread.
 */
public final class TargetDirectory {

  private final Duration outageLength;
  private final Duration grace;
  private final Map<InstanceId, Target> targets = new HashMap<>();
  private final Map<InstanceId, Long> lapsed = new HashMap<>();
  private long version;
  private long lastReadNanos;
  private long graceUntilNanos;
  private boolean isRead;

  /**
   * Creates an empty directory.
   *
   * @param outageLength the time without a reading that counts as an outage, not null
   * @param grace the time after an outage for which missing targets are kept, not null
   */
  public TargetDirectory(Duration outageLength, Duration grace) {
    this.outageLength = Objects.requireNonNull(outageLength, "outageLength");
    this.grace = Objects.requireNonNull(grace, "grace");
  }

  /**
   * Takes in a reading.
   *
   * @param changes the reading, not null
   * @param nowNanos the reading of the monotonic clock
   * @return the targets that were added, changed or removed, never null
   */
  public Set<InstanceId> apply(TargetChanges changes, long nowNanos) {
    if (isRead && nowNanos - lastReadNanos > outageLength.toNanos()) {
      graceUntilNanos = nowNanos + grace.toNanos();
    }
    boolean isInGrace = isRead && nowNanos - graceUntilNanos < 0;
    Set<InstanceId> touched = new HashSet<>();
    Set<InstanceId> missing = new HashSet<>(changes.removed());
    if (changes.isWhole()) {
      missing.addAll(targets.keySet());
    }
    for (Target target : changes.updated()) {
      missing.remove(target.id());
      lapsed.remove(target.id());
      if (!target.equals(targets.put(target.id(), keepLeaving(target)))) {
        touched.add(target.id());
      }
    }
    for (InstanceId id : missing) {
      if (isInGrace && targets.containsKey(id)) {
        lapsed.putIfAbsent(id, graceUntilNanos);
      } else if (targets.remove(id) != null) {
        touched.add(id);
      }
    }
    version = Math.max(version, changes.version());
    lastReadNanos = nowNanos;
    isRead = true;
    touched.addAll(expire(nowNanos));
    return touched;
  }

  private Target keepLeaving(Target target) {
    Target known = targets.get(target.id());
    boolean isMarked =
        known != null && known.isLeaving() && known.startMillis() == target.startMillis();
    if (!isMarked || target.isLeaving()) {
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
   * Removes the lapsed targets whose grace period has passed.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the targets that were removed, never null
   */
  public Set<InstanceId> expire(long nowNanos) {
    Set<InstanceId> gone = new HashSet<>();
    lapsed
        .entrySet()
        .removeIf(
            e -> {
              if (nowNanos - e.getValue() < 0) {
                return false;
              }
              targets.remove(e.getKey());
              return gone.add(e.getKey());
            });
    return gone;
  }

  /**
   * Gets the version up to which the directory is complete.
   *
   * @return the version, 0 before the first reading
   */
  public long getVersion() {
    return version;
  }

  /**
   * Lists the targets.
   *
   * @return a copy, never null
   */
  public List<Target> getTargets() {
    return new ArrayList<>(targets.values());
  }
}
