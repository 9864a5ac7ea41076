package io.fireflyshed.transport.forward;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
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

  /** The fraction of the descriptors of the process that the connections of callers may take. */
  private static final double CONNECTIONS_FRACTION = 0.75;

  private static final int MIN_CONNECTIONS = 64;

  /**
   * Returns the number of connections of callers, from the descriptors that the process may open.
   *
   * @return the number, positive; unlimited if it is unknown
   */
  public int maxConnections() {
    if (!(ManagementFactory.getOperatingSystemMXBean()
        instanceof UnixOperatingSystemMXBean system)) {
      return Integer.MAX_VALUE;
    }
    double connections = system.getMaxFileDescriptorCount() * CONNECTIONS_FRACTION;
    return (int) Math.min(Integer.MAX_VALUE, Math.max(MIN_CONNECTIONS, connections));
  }

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
