package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of the request line and headers
 * @param maxBodyBytes the most bytes of a body
 * @param headerTimeout the longest time for the headers of a request, not null
 * @param idleTimeout the longest time for which a connection may stay idle, not null
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Checks the parts of the record. */
  public ClientLimits {
    Objects.requireNonNull(headerTimeout, "headerTimeout");
    Objects.requireNonNull(idleTimeout, "idleTimeout");
  }
}
