package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** Names the orders that engines take. */
public sealed interface EngineOrder {

  /**
   * Makes an instance a member of a replica; it replaces any membership that it had.
   *
   * @param replica the replica, not null
   * @param generation the generation
   * @param model the model, not null
   * @param members the members, the head first, not empty
   */
  record Join(ReplicaId replica, long generation, String model, List<InstanceId> members)
      implements EngineOrder {

    /** Checks the parts of the record. */
    public Join {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }
  }

  /**
   * Lets the head of a replica serve. Engines don't check the other members.
   *
   * @param replica the replica, not null
   * @param generation the generation
   */
  record Open(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Ends the serving of a replica after its running work.
   *
   * @param replica the replica, not null
   * @param generation the generation
   */
  record Close(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Ends a membership at once.
   *
   * @param replica the replica, not null
   * @param generation the generation
   */
  record Leave(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Loads a model into the memory of the host, beside all other work.
   *
   * @param model the model, not null
   */
  record Stage(String model) implements EngineOrder {}
}
