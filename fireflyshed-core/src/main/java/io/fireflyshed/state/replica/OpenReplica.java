package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * A replica that may serve requests until the evidence of its health expires.
 *
 * @param assignment the replica and its members, not null
 * @param expiryNanos the reading of the monotonic clock, in nanoseconds, at which the evidence
 *     expires
 */
public record OpenReplica(Assignment assignment, long expiryNanos) {

  /** Validates the components. */
  public OpenReplica {
    Objects.requireNonNull(assignment, "assignment");
  }

  /**
   * Tests whether the replica may serve a request now.
   *
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return true if the evidence has not expired
   */
  public boolean isOpen(long nowNanos) {
    return expiryNanos - nowNanos > 0;
  }
}
