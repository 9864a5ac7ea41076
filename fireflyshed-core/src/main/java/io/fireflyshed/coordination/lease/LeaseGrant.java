package io.fireflyshed.coordination.lease;

/**
 * The lease of a zone coordinator, as far as its holder knows.
 *
 * <p>The expiry only avoids useless work. The version of the epoch row makes a change safe, because
 * every transaction of the coordinator requires it.
 *
 * @param epoch the epoch, 1 or more, which grows with each takeover
 * @param epochVersion the version of the epoch row, 1 or more
 * @param expiryNanos the reading of the monotonic clock at which the lease expires
 */
public record LeaseGrant(long epoch, long epochVersion, long expiryNanos) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the epoch or the version of its row is not positive
   */
  public LeaseGrant {
    if (epoch < 1 || epochVersion < 1) {
      throw new IllegalArgumentException(
          "epoch and epochVersion must be positive; epoch: " + epoch);
    }
  }

  /**
   * Tests whether the lease has not expired.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return true if the lease expires later
   */
  public boolean isValid(long nowNanos) {
    return expiryNanos - nowNanos > 0;
  }
}
