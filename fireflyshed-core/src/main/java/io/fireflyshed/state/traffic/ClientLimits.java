package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param headerTimeout the maximum time in which a caller must send the headers of a request, not
 *     null
 * @param idleTimeout the maximum time for which a connection may be idle, not null
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Validates the components. */
  public ClientLimits {
    Objects.requireNonNull(headerTimeout, "headerTimeout");
    Objects.requireNonNull(idleTimeout, "idleTimeout");
  }
}
