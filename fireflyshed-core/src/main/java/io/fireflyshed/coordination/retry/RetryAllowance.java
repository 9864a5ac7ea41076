package io.fireflyshed.coordination.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * Calculates the share of one entry in the number of retries that all entries of a deployment
 * together may make in a window.
 *
 * <p>Each availability zone has an equal share, which its entries divide by their number. A process
 * gets a small part of its entry's share at first and the rest once it has been registered for the
 * settling time. By then the retries of its predecessor have left the window and the other entries
 * have counted it. Settled processes leave that small part unused. A process has no share while the
 * number of entries is unknown or too old, since more entries may have joined. Thread safe.
 */
public final class RetryAllowance {

  /** The fraction of a share that only processes use that have not settled. */
  private static final double UNSETTLED_FRACTION = 0.25;

  private final double zoneShare;
  private final Duration settlingTime;
  private final Duration maxAge;
  private boolean isRegistered;
  private long registeredNanos;
  private int entries;
  private long countedNanos;

  /**
   * Creates an allowance of an entry that is not registered yet.
   *
   * @param total the retries that all entries together may make in a window, 0 or more
   * @param zones the number of availability zones of the deployment, positive
   * @param settlingTime the time from the registration until this entry has its full share, at
   *     least the window and the interval at which entries count each other, not null
   * @param maxAge the time after which a count is too old, not null
   */
  public RetryAllowance(double total, int zones, Duration settlingTime, Duration maxAge) {
    if (!(total >= 0) || zones < 1) {
      throw new IllegalArgumentException(
          "total must not be negative and zones be positive; total: "
              + total
              + ", zones: "
              + zones);
    }
    this.zoneShare = total / zones;
    this.settlingTime = Objects.requireNonNull(settlingTime, "settlingTime");
    this.maxAge = Objects.requireNonNull(maxAge, "maxAge");
  }

  /**
   * Records that other entries can see the registration of this process. Repeated calls have no
   * effect while it stays registered.
   *
   * @param nowNanos the current reading of the clock, which includes suspended time
   */
  public synchronized void onRegistered(long nowNanos) {
    if (!isRegistered) {
      isRegistered = true;
      registeredNanos = nowNanos;
    }
  }

  /**
   * Records the number of entries in this entry's availability zone.
   *
   * @param count the number including this entry, or 0 if this entry is no longer registered
   * @param readNanos the reading of the clock before the entries were read
   */
  public synchronized void onCounted(int count, long readNanos) {
    entries = count;
    countedNanos = readNanos;
    isRegistered = isRegistered && count > 0;
  }

  /**
   * Calculates the share of this entry.
   *
   * @param nowNanos the current reading of the clock, which includes suspended time
   * @return the number of retries in a window, 0 if the share is unknown
   */
  public synchronized double get(long nowNanos) {
    if (!isRegistered || entries == 0 || nowNanos - countedNanos > maxAge.toNanos()) {
      return 0;
    }
    boolean isSettled = countedNanos - registeredNanos >= settlingTime.toNanos();
    double fraction = isSettled ? 1 - UNSETTLED_FRACTION : UNSETTLED_FRACTION;
    return fraction * zoneShare / entries;
  }
}
