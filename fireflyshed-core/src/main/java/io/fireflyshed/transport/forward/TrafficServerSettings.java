package io.fireflyshed.transport.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a {@link TrafficServer}.
 *
 * @param callerAddress the address that accepts requests of callers, not null
 * @param readinessAddress the address that the load balancer probes for readiness, not null
 * @param readinessPath the path of the readiness probe, not null
 * @param metricsAddress the address that serves the metrics, not null
 * @param drainDelay the time after the shutdown signal during which new requests may still arrive,
 *     not null
 * @param drainTimeout the longest wait for requests in flight once {@code drainDelay} has passed,
 *     not null
 */
public record TrafficServerSettings(
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    String readinessPath,
    InetSocketAddress metricsAddress,
    Duration drainDelay,
    Duration drainTimeout) {

  /** Validates the components. */
  public TrafficServerSettings {
    Objects.requireNonNull(callerAddress, "callerAddress");
    Objects.requireNonNull(readinessAddress, "readinessAddress");
    Objects.requireNonNull(readinessPath, "readinessPath");
    Objects.requireNonNull(metricsAddress, "metricsAddress");
    Objects.requireNonNull(drainDelay, "drainDelay");
    Objects.requireNonNull(drainTimeout, "drainTimeout");
  }
}
