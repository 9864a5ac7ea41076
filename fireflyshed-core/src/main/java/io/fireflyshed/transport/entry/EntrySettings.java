package io.fireflyshed.transport.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of the entry's HTTP server.
 *
 * @param listen the address to listen on; port 0 takes a free one, not null
 * @param maxBodyBytes the largest accepted request body in bytes, positive
 * @param bodyTimeout the longest wait for a request body, not null
 * @param drainDelay how long the entry answers not ready before it stops accepting, not null
 * @param drainTimeout the longest wait for requests in flight at shutdown, not null
 */
public record EntrySettings(
    InetSocketAddress listen,
    int maxBodyBytes,
    Duration bodyTimeout,
    Duration drainDelay,
    Duration drainTimeout) {

  /** Checks the parts of the record. */
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
