package io.fireflyshed.state.replica;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import java.util.Objects;
import java.util.Optional;

/**
 * The health of one member as reported by the member itself.
 *
 * @param instance the instance, not null
 * @param boot the incarnation of its engine, not null
 * @param replica the replica that it runs, or empty if it runs none, not null
 * @param generation the generation that it runs, 0 if it runs none
 * @param isReady whether it has loaded the model and can serve requests
 * @param isLeaving whether it has announced that it is leaving
 */
public record MemberHealth(
    InstanceId instance,
    BootId boot,
    Optional<ReplicaId> replica,
    long generation,
    boolean isReady,
    boolean isLeaving) {

  /** Validates the components. */
  public MemberHealth {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(boot, "boot");
    Objects.requireNonNull(replica, "replica");
  }
}
