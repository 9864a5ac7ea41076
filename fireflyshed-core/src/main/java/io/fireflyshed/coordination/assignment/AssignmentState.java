package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.Assignment;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What the coordinator knows about one replica. Immutable.
 *
 * @param assignment the replica, its generation and its members, not null
 * @param model the model version that the members load at this generation, not null
 * @param phase the phase, not null
 * @param ready the members that are ready to serve this replica at this generation, copied, not
 *     null
 * @param loading the members that have accepted a load order but are not ready yet, copied, not
 *     null
 * @param downSinceNanos the monotonic clock reading, in nanoseconds, since which the replica has
 *     not served; empty while it serves, not null
 */
public record AssignmentState(
    Assignment assignment,
    String model,
    AssignmentPhase phase,
    Set<InstanceId> ready,
    Set<InstanceId> loading,
    OptionalLong downSinceNanos) {

  /** Validates the components and copies the sets. */
  public AssignmentState {
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(phase, "phase");
    ready = Set.copyOf(ready);
    loading = Set.copyOf(loading);
    Objects.requireNonNull(downSinceNanos, "downSinceNanos");
  }

  /**
   * Tests whether the replica still holds its members, so that no other replica may take them.
   *
   * @return true unless the replica is dissolved
   */
  public boolean isHolding() {
    return phase != AssignmentPhase.DISSOLVED;
  }
}
