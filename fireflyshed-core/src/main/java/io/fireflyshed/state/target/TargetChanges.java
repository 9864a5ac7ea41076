package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the result of a read of the registry.
 *
 * @param version the version of the registry up to which the result is complete
 * @param isWhole whether the result lists all targets rather than only the changed ones
 * @param updated the targets that are listed, or were added or changed, copied, not null
 * @param removed the ids of the targets that were removed, copied, not null
 * @param coldTimes the times for which updated targets said that they stay cold, none for targets
 *     that said nothing of it, copied, not null
 */
public record TargetChanges(
    long version,
    boolean isWhole,
    List<Target> updated,
    Set<InstanceId> removed,
    Map<InstanceId, Duration> coldTimes) {

  /** Copies the collections. */
  public TargetChanges {
    updated = List.copyOf(updated);
    removed = Set.copyOf(removed);
    coldTimes = Map.copyOf(coldTimes);
  }

  /**
   * Creates a result of targets that say nothing of cold times.
   *
   * @param version the version of the registry up to which the result is complete
   * @param isWhole whether the result lists all targets rather than only the changed ones
   * @param updated the targets that are listed, or were added or changed, copied, not null
   * @param removed the ids of the targets that were removed, copied, not null
   */
  public TargetChanges(
      long version, boolean isWhole, List<Target> updated, Set<InstanceId> removed) {
    this(version, isWhole, updated, removed, Map.of());
  }
}
