package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import java.util.Objects;
import java.util.Set;

/**
 * A transaction that changes one replica. It commits only if the epoch row and the row of the
 * replica have the expected versions and no other replica holds a claimed instance.
 *
 * @param epochVersion the required version of the epoch row, 1 or more
 * @param next the replica after the change, not null
 * @param expectedVersion the required version of the row of the replica, 0 if the row must not
 *     exist
 * @param claimed the instances that the replica takes, copied, not null
 * @param freed the instances that the replica releases, copied, not null
 */
public record AssignmentChange(
    long epochVersion,
    StoredAssignment next,
    long expectedVersion,
    Set<InstanceId> claimed,
    Set<InstanceId> freed) {

  /** Validates the components and copies the sets. */
  public AssignmentChange {
    Objects.requireNonNull(next, "next");
    claimed = Set.copyOf(claimed);
    freed = Set.copyOf(freed);
    if (epochVersion < 1 || expectedVersion < 0) {
      throw new IllegalArgumentException(
          "epochVersion must be 1 or more and expectedVersion 0 or more; epochVersion is "
              + epochVersion);
    }
  }
}
