package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.InstanceId;
import java.util.List;
import java.util.Set;

/**
 * Holds the result of a read of the registry.
 *
 * @param version the version of the registry up to which the result is complete
 * @param isWhole whether the result lists all targets rather than only the changed ones
 * @param updated the targets that are listed, or were added or changed, copied, not null
 * @param removed the ids of the targets that were removed, copied, not null
 */
public record TargetChanges(
    long version, boolean isWhole, List<Target> updated, Set<InstanceId> removed) {

  /** Copies the collections. */
  public TargetChanges {
    updated = List.copyOf(updated);
    removed = Set.copyOf(removed);
  }
}
