package io.fireflyshed.state.target;

import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import java.util.Objects;

/**
 * Describes the membership of a target in a replica.
 *
 * @param replica the replica, not null
 * @param generation the generation of the replica; a higher one supersedes a lower one
 * @param rank the index in the list of members, 0 for the head
 * @param phase the phase of the member, not null
 */
public record Membership(ReplicaId replica, long generation, int rank, MembershipPhase phase) {

  /** Validates the components. */
  public Membership {
    Objects.requireNonNull(replica, "replica");
    Objects.requireNonNull(phase, "phase");
  }

  /**
   * Gets the name of the model that the replica runs.
   *
   * @return the name, never null
   */
  public String getModel() {
    return ReplicaNameUtils.getModel(replica);
  }

  /**
   * Tests whether the target is the head of its replica.
   *
   * @return true if the rank is 0
   */
  public boolean isHead() {
    return rank == 0;
  }

  /**
   * Tests whether another membership has the same replica and generation.
   *
   * @param other the other membership, not null
   * @return true if both replica and generation are equal
   */
  public boolean isSameReplica(Membership other) {
    return generation == other.generation && replica.equals(other.replica);
  }
}
