package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.replica.Assignment;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds one replica as the table service keeps it.
 *
 * @param assignment the replica, its generation and its members, not null
 * @param model the model version that the members load at this generation, not null
 * @param phase the phase, not null
 * @param nextModel the model version to which the same members change when they are free, empty to
 *     free them, not null
 */
public record StoredAssignment(
    Assignment assignment, String model, AssignmentPhase phase, Optional<String> nextModel) {

  /** Checks the parts of the record. */
  public StoredAssignment {
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(nextModel, "nextModel");
  }

  /**
   * Tests whether the replica holds its members, so that no other replica may take them.
   *
   * @return true unless the replica is dissolved
   */
  public boolean isHolding() {
    return phase != AssignmentPhase.DISSOLVED;
  }

  /**
   * Tests whether the replica may serve when it is whole.
   *
   * @return true if it is active
   */
  public boolean isActive() {
    return phase == AssignmentPhase.ACTIVE;
  }
}
