package io.fireflyshed.protocol.engine;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Orders an engine to load a model as a member of a replica, or to stop running one.
 *
 * @param fence the fencing number; engines that enforce it refuse a lower one than they have seen
 * @param replica the replica to join, or empty to unload, not null
 * @param generation the generation of the replica, 0 to unload
 * @param model the model version, empty to unload, not null
 * @param adapter the adapter to load beside the model, empty for none, not null
 * @param members the members of the replica in their order, copied, not null
 * @param deadlineMillis how long after its arrival the order stays valid, in milliseconds, positive
 */
public record EngineOrder(
    long fence,
    Optional<ReplicaId> replica,
    long generation,
    String model,
    String adapter,
    List<InstanceId> members,
    long deadlineMillis) {

  /** Checks the parts and copies the members. */
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
