package io.fireflyshed.state.target;

import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import java.util.Objects;

/**
 * Says to which replica a target belongs.
 *
 * @param replica the replica, not null
 * @param generation the generation of the replica; a higher one replaces a lower one
 * @param rank the place in the list of members, 0 is the head
 * @param phase the phase, not null
 */
public record Membership(ReplicaId replica, long generation, int rank, MembershipPhase phase) {

  /** Checks the parts of the record. */
  public Membership {
    Objects.requireNonNull(replica, "replica");
    Objects.requireNonNull(phase, "phase");
  }

  /**
   * Gets the model of the replica.
   *
   * @return the model, never null
   */
  public String getModel() {
    return ReplicaNameUtils.getModel(replica);
  }

  /**
   * Tests whether the target is the head of its replica.
   *
   * @return true for the first member
   */
  public boolean isHead() {
    return rank == 0;
  }

  /**
   * Tests whether another membership is of the same replica and generation.
   *
   * @param other the other membership, not null
   * @return true if both name one generation of one replica
   */
  public boolean isSameReplica(Membership other) {
    return generation == other.generation && replica.equals(other.replica);
  }
}
