package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** An action of the zone coordinator that its caller carries out by calling another service. */
public sealed interface CoordinatorAction {

  /**
   * Commits a change of a replica.
   *
   * @param change the change, not null
   */
  record Commit(AssignmentChange change) implements CoordinatorAction {

    /** Validates the component. */
    public Commit {
      Objects.requireNonNull(change, "change");
    }
  }

  /**
   * Orders an engine to load a model as a member of a replica, or to unload. The sender must check
   * again that it holds the lease, immediately before it sends the order.
   *
   * @param instance the instance, not null
   * @param replica the replica to join, empty to unload, not null
   * @param generation the generation of the replica, 0 to unload
   * @param fence the fencing token; an engine that enforces fencing rejects an order whose token is
   *     lower than one that it has seen
   * @param model the model version, empty to unload, not null
   * @param members the members of the replica in order, empty to unload, copied, not null
   */
  record Order(
      InstanceRecord instance,
      Optional<ReplicaId> replica,
      long generation,
      long fence,
      String model,
      List<InstanceId> members)
      implements CoordinatorAction {

    /** Validates the components and copies the members. */
    public Order {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }

    /**
     * Tests whether the order tells the engine to unload.
     *
     * @return true if the order names no replica
     */
    public boolean isUnload() {
      return replica.isEmpty();
    }
  }
}
