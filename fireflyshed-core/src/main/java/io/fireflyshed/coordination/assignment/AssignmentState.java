package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.Assignment;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds what the coordinator knows of one replica. Immutable.
 *
 * @param assignment the replica, its generation and its members, not null
 * @param model the model version that the members load at this generation, not null
 * @param phase the phase, not null
 * @param ready the members that run this replica at this generation, copied, not null
 * @param loading the members that accepted a load order and are not ready yet, copied, not null
 * @param downSinceNanos the reading of the monotonic clock since which the replica does not serve,
 *     empty while it serves, not null
 */
public record AssignmentState(
    Assignment assignment,
    String model,
    AssignmentPhase phase,
    Set<InstanceId> ready,
    Set<InstanceId> loading,
    OptionalLong downSinceNanos) {

  /** Checks the parts and copies the sets. */
  public AssignmentState {
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(phase, "phase");
    ready = Set.copyOf(ready);
    loading = Set.copyOf(loading);
    Objects.requireNonNull(downSinceNanos, "downSinceNanos");
  }

  /**
   * Tests whether the replica holds its members, so that no other replica may take them.
   *
   * @return true unless the replica is dissolved
   */
  public boolean isHolding() {
    return phase != AssignmentPhase.DISSOLVED;
  }
}
