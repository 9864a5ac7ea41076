package io.fireflyshed.state.replica;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds what one member said of itself.
 *
 * @param instance the instance, not null
 * @param boot the run of its engine, not null
 * @param replica the replica that it runs, or empty, not null
 * @param generation the generation that it runs, 0 if it runs none
 * @param isReady whether it has loaded the model and can serve
 * @param isLeaving whether it has announced that it leaves
 */
public record MemberHealth(
    InstanceId instance,
    BootId boot,
    Optional<ReplicaId> replica,
    long generation,
    boolean isReady,
    boolean isLeaving) {

  /** Checks the parts of the record. */
  public MemberHealth {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(boot, "boot");
    Objects.requireNonNull(replica, "replica");
  }
}
