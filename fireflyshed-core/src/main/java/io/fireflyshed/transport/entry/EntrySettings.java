package io.fireflyshed.transport.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * The settings of an {@link EntryServer}.
 *
 * @param listen the address to listen on; port 0 selects a free port, not null
 * @param maxBodyBytes the maximum size of a request body in bytes, positive
 * @param bodyTimeout the maximum time to receive a complete request body, not null
 * @param drainDelay how long the entry reports that it is not ready before it waits for requests in
 *     flight, not null
 * @param drainTimeout the maximum wait for requests in flight at a shutdown, not null
 */
public record EntrySettings(
    InetSocketAddress listen,
    int maxBodyBytes,
    Duration bodyTimeout,
    Duration drainDelay,
    Duration drainTimeout) {

  /** Validates the components. */
  public EntrySettings {
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(bodyTimeout, "bodyTimeout");
    Objects.requireNonNull(drainDelay, "drainDelay");
    Objects.requireNonNull(drainTimeout, "drainTimeout");
    if (maxBodyBytes < 1) {
      throw new IllegalArgumentException("maxBodyBytes must be positive: " + maxBodyBytes);
    }
  }
}
