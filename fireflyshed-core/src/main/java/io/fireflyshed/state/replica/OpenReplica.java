package io.fireflyshed.state.replica;

import java.util.Objects;

/**
 * Describes a replica that may take requests until its evidence of health expires.
 *
 * @param assignment the replica and its members, not null
 * @param expiryNanos the reading of the monotonic clock after which the evidence is too old
 */
public record OpenReplica(Assignment assignment, long expiryNanos) {

  /** Checks the parts of the record. */
  public OpenReplica {
    Objects.requireNonNull(assignment, "assignment");
  }

  /**
   * Tests whether the replica may take a request now.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return true if the evidence has not expired
   */
  public boolean isOpen(long nowNanos) {
    return expiryNanos - nowNanos > 0;
  }
}
