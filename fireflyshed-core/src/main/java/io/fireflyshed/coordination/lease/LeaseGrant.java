package io.fireflyshed.coordination.lease;

/**
 * Holds the right of a coordinator to act, as far as it knows.
 *
 * <p>The expiry only spares useless work. What makes a change safe is the version of the epoch row,
 * on which every transaction of the coordinator is conditioned.
 *
 * @param epoch the epoch, 1 or more; it grows with each takeover
 * @param epochVersion the version of the epoch row, 1 or more
 * @param expiryNanos the reading of the monotonic clock at which the lease runs out
 */
public record LeaseGrant(long epoch, long epochVersion, long expiryNanos) {

  /** Checks the parts of the record. */
  public LeaseGrant {
    if (epoch < 1 || epochVersion < 1) {
      throw new IllegalArgumentException("epoch and version must be positive: " + epoch);
    }
  }

  /**
   * Tests whether the lease still runs.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return true if the expiry is later
   */
  public boolean isValid(long nowNanos) {
    return expiryNanos - nowNanos > 0;
  }
}
