package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.replica.Assignment;
import java.util.Objects;
import java.util.Optional;

/**
 * A replica as the table service stores it.
 *
 * @param assignment the replica, its generation and its members, not null
 * @param model the model version that the members load at this generation, not null
 * @param phase the phase, not null
 * @param nextModel the model version that the same members load once the replica is dissolved,
 *     empty if they are released instead, not null
 */
public record StoredAssignment(
    Assignment assignment, String model, AssignmentPhase phase, Optional<String> nextModel) {

  /** Validates the components. */
  public StoredAssignment {
    Objects.requireNonNull(assignment, "assignment");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(nextModel, "nextModel");
  }

  /**
   * Tests whether the replica still holds its members, so that no other replica may take them.
   *
   * @return true unless the replica is dissolved
   */
  public boolean isHolding() {
    return phase != AssignmentPhase.DISSOLVED;
  }

  /**
   * Tests whether the replica may serve once it is complete.
   *
   * @return true if the phase is active
   */
  public boolean isActive() {
    return phase == AssignmentPhase.ACTIVE;
  }
}
