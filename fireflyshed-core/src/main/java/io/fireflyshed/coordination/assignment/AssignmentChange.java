package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import java.util.Objects;
import java.util.Set;

/**
 * Describes one transaction on a replica. It commits only if the epoch row and the row of the
 * replica have the expected versions and no other replica holds a claimed instance.
 *
 * @param epochVersion the required version of the epoch row, 1 or more
 * @param next the replica after the change, not null
 * @param expectedVersion the required version of the row of the replica, 0 if it must not exist
 * @param claimed the instances to take, copied, not null
 * @param freed the instances to give free, copied, not null
 */
public record AssignmentChange(
    long epochVersion,
    StoredAssignment next,
    long expectedVersion,
    Set<InstanceId> claimed,
    Set<InstanceId> freed) {

  /** Checks the parts and copies the sets. */
  public AssignmentChange {
    Objects.requireNonNull(next, "next");
    claimed = Set.copyOf(claimed);
    freed = Set.copyOf(freed);
    if (epochVersion < 1 || expectedVersion < 0) {
      throw new IllegalArgumentException("versions out of range: " + epochVersion);
    }
  }
}
