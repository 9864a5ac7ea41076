package io.fireflyshed.state.target;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes a target as the platform's registry lists it.
 *
 * @param id the id, not null
 * @param service the service that it belongs to, not null
 * @param address its address, not null
 * @param zone its availability zone, not null
 * @param isLeaving whether it announced that it leaves
 * @param slots the requests that it runs at once
 * @param startMillis the wall time of its start, which tells its lifetimes apart, or 0 if unknown
 * @param membership its replica, empty if it belongs to none, not null
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

  /** Checks the parts of the record. */
  public Target {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(membership, "membership");
  }

  /**
   * Tests whether the target is the head of a replica that serves.
   *
   * @return true if requests may go to it
   */
  public boolean isOpenHead() {
    return membership.filter(m -> m.isHead() && m.phase() == MembershipPhase.OPEN).isPresent();
  }
}
