package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;

/** Represents an order to an engine. */
public sealed interface EngineOrder {

  /**
   * Makes an instance a member of a replica, in place of any previous membership.
   *
   * @param replica the replica, not null
   * @param generation the generation of the replica
   * @param model the model that the replica runs, not null
   * @param members the members in the order of their ranks, the head first, not null or empty
   */
  record Join(ReplicaId replica, long generation, String model, List<InstanceId> members)
      implements EngineOrder {

    /** Validates the components. */
    public Join {
      Objects.requireNonNull(replica, "replica");
      Objects.requireNonNull(model, "model");
      members = List.copyOf(members);
    }
  }

  /**
   * Makes the head of a replica serve requests. Engines don't check the state of other members.
   *
   * @param replica the replica, not null
   * @param generation the generation of the replica
   */
  record Open(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Makes a replica stop accepting requests and finish those that it has.
   *
   * @param replica the replica, not null
   * @param generation the generation of the replica
   */
  record Close(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Ends the membership of an instance immediately.
   *
   * @param replica the replica, not null
   * @param generation the generation of the replica
   */
  record Leave(ReplicaId replica, long generation) implements EngineOrder {}

  /**
   * Loads the weights of a model into host memory without interrupting other work.
   *
   * @param model the model, not null
   */
  record Stage(String model) implements EngineOrder {}
}
