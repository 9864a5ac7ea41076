package io.fireflyshed.state.instance;

import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * An instance as listed by the platform.
 *
 * @param id the id of the instance, not null
 * @param address the address of its model engine or plain service, not null
 * @param zone its availability zone, not null
 * @param domain its fabric domain, not null
 * @param accelerators the number of accelerators, 0 or more
 * @param leaving whether the platform has announced that the instance is leaving
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

  /** Validates the components. */
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
   * Returns the address in the form {@code host:port}.
   *
   * @return the text, never null
   */
  public String getAddressText() {
    return address.getHostString() + ":" + address.getPort();
  }
}
