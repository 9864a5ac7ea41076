package io.fireflyshed.protocol.engine;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An order to an engine to load a model as a member of a replica, or to unload its model.
 *
 * @param fence the fencing token; engines that enforce it refuse a token lower than the highest one
 *     they have received
 * @param replica the replica to join, or empty to unload, not null
 * @param generation the generation of the replica, 0 to unload
 * @param model the model version, empty to unload, not null
 * @param adapter the adapter to load along with the model, empty for none, not null
 * @param members the members of the replica in their order, copied, not null
 * @param deadlineMillis the time for which the order stays valid after its arrival, in
 *     milliseconds, positive
 */
public record EngineOrder(
    long fence,
    Optional<ReplicaId> replica,
    long generation,
    String model,
    String adapter,
    List<InstanceId> members,
    long deadlineMillis) {

  /** Validates the components and copies the members. */
  public EngineOrder {
    Objects.requireNonNull(replica, "replica");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    members = List.copyOf(members);
    if (deadlineMillis <= 0) {
      throw new IllegalArgumentException("deadlineMillis must be positive: " + deadlineMillis);
    }
  }
}
