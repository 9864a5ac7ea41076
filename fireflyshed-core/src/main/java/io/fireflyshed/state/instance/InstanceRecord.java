package io.fireflyshed.state.instance;

import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes one instance as the platform lists it.
 *
 * @param id the instance, not null
 * @param address the address of its engine or service, not null
 * @param zone its availability zone, not null
 * @param domain its fabric domain, not null
 * @param accelerators the number of accelerators, 0 or more
 * @param leaving whether the platform has announced that the instance leaves
 * @param plainService the plain service that it runs, or empty if it runs a model engine, not null
 */
public record InstanceRecord(
    InstanceId id,
    InetSocketAddress address,
    AvailabilityZone zone,
    FabricDomain domain,
    int accelerators,
    boolean leaving,
    Optional<ServiceName> plainService) {

  /** Checks the parts of the record. */
  public InstanceRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(plainService, "plainService");
    if (accelerators < 0) {
      throw new IllegalArgumentException("accelerators must not be negative: " + accelerators);
    }
  }

  /**
   * Tests whether the instance runs a model engine.
   *
   * @return true if it runs no plain service
   */
  public boolean isEngine() {
    return plainService.isEmpty();
  }

  /**
   * Gets the address as {@code host:port}.
   *
   * @return the text, never null
   */
  public String getAddressText() {
    return address.getHostString() + ":" + address.getPort();
  }
}
