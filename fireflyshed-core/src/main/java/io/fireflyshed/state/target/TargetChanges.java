package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.InstanceId;
import java.util.List;
import java.util.Set;

/**
 * Holds what a reading of the registry found.
 *
 * @param version the version of the registry up to which the reading is complete
 * @param isWhole whether the reading lists all targets rather than the changed ones
 * @param updated the listed or changed targets, not null
 * @param removed the targets that were taken off the list, not null
 */
public record TargetChanges(
    long version, boolean isWhole, List<Target> updated, Set<InstanceId> removed) {

  /** Copies the parts of the record. */
  public TargetChanges {
    updated = List.copyOf(updated);
    removed = Set.copyOf(removed);
  }
}
