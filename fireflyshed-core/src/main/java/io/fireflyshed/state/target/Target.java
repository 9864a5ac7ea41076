package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a target as it is listed in the platform's registry.
 *
 * @param id the instance id, not null
 * @param service the service that it belongs to, not null
 * @param address its address, not null
 * @param zone its availability zone, not null
 * @param isLeaving whether it has announced that it is shutting down
 * @param slots the number of requests that it can run concurrently
 * @param startMillis the wall clock time of its start in milliseconds, which identifies the
 *     incarnation, or 0 if unknown
 * @param membership its membership in a replica, empty if it has none, not null
 */
public record Target(
    InstanceId id,
    ServiceName service,
    InetSocketAddress address,
    AvailabilityZone zone,
    boolean isLeaving,
    int slots,
    long startMillis,
    Optional<Membership> membership) {

  /** Validates the components. */
  public Target {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(membership, "membership");
  }

  /**
   * Tests whether the target is the head of a serving replica.
   *
   * @return true if requests for the model may be sent to it
   */
  public boolean isOpenHead() {
    return membership.filter(m -> m.isHead() && m.phase() == MembershipPhase.OPEN).isPresent();
  }
}
