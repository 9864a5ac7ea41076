package io.fireflyshed.coordination.assignment;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Names one step that the coordinator of a zone takes outside its own process. */
public sealed interface CoordinatorAction {

  /**
   * Commits a change of a replica.
   *
   * @param change the change, not null
   */
  record Commit(AssignmentChange change) implements CoordinatorAction {

    /** Checks the part of the record. */
    public Commit {
      Objects.requireNonNull(change, "change");
    }
  }

  /**
   * Orders an engine to load a model as a member of a replica, or to stop running one. The sender
   * tests again that it holds the lease, right before it writes the order.
   *
   * @param instance the instance, not null
   * @param replica the replica, empty to unload, not null
   * @param generation the generation, 0 to unload
   * @param fence the fencing number
   * @param model the model version, empty to unload, not null
   * @param members the members in their order, copied, not null
   */
  record Order(
      InstanceRecord instance,
      Optional<ReplicaId> replica,
      long generation,
      long fence,
      String model,
      List<InstanceId> members)
      implements CoordinatorAction {

    /** Checks the parts and copies the members. */
    public Order {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }

    /**
     * Tests whether the order is to unload.
     *
     * @return true if no replica is named
     */
    public boolean isUnload() {
      return replica.isEmpty();
    }
  }
}
