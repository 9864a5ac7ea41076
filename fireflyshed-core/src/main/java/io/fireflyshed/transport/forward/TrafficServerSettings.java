package io.fireflyshed.transport.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a traffic server.
 *
 * @param listen the address for callers, not null
 * @param readinessListen the address at which the balancer asks for readiness, not null
 * @param readinessPath the path of that question, not null
 * @param metricsListen the address at which the metrics are served, not null
 * @param drainDelay the time after the signal to stop for which new requests still come, not null
 * @param drainTimeout the longest time for requests in flight after the signal, not null
 */
public record TrafficServerSettings(
    InetSocketAddress listen,
    InetSocketAddress readinessListen,
    String readinessPath,
    InetSocketAddress metricsListen,
    Duration drainDelay,
    Duration drainTimeout) {

  /** Checks the parts of the record. */
  public TrafficServerSettings {
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(readinessListen, "readinessListen");
    Objects.requireNonNull(readinessPath, "readinessPath");
    Objects.requireNonNull(metricsListen, "metricsListen");
    Objects.requireNonNull(drainDelay, "drainDelay");
    Objects.requireNonNull(drainTimeout, "drainTimeout");
  }
}
