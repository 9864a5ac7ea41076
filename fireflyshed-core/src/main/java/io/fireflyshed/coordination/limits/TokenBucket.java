package io.fireflyshed.coordination.limits;

import java.time.Duration;

/**
 * Lets events through at a rate that may change. Not thread safe.
 *
 * <p>The bucket holds at most what the current rate brings in the burst time, but room for one
 * event, and is cut down at once when the rate falls.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final double burstSeconds;
  private double level;
  private double rate;
  private long lastNanos;

  /**
   * Creates an empty bucket.
   *
   * @param burst the time whose tokens the bucket holds, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public TokenBucket(Duration burst, long nowNanos) {
    burstSeconds = burst.toNanos() / NANOS_PER_SECOND;
    lastNanos = nowNanos;
  }

  /**
   * Changes the rate and accrues tokens up to now, at the lower of the old and the new rate.
   *
   * @param perSecond the tokens for each second, 0 or more
   * @param nowNanos the reading of the monotonic clock
   */
  public void setRate(double perSecond, long nowNanos) {
    double accrued = Math.min(rate, perSecond) * (nowNanos - lastNanos) / NANOS_PER_SECOND;
    rate = perSecond;
    lastNanos = nowNanos;
    level = Math.min(level + accrued, Math.max(1, rate * burstSeconds));
  }

  /**
   * Takes one token.
   *
   * @return true if there was one
   */
  public boolean tryTake() {
    if (!isAvailable()) {
      return false;
    }
    level -= 1;
    return true;
  }

  /**
   * Tests whether a token can be taken.
   *
   * @return true if there is one
   */
  public boolean isAvailable() {
    return level >= 1;
  }

  /**
   * Gets how long it takes until a number of tokens have come in.
   *
   * @param tokens the number of tokens, positive
   * @param perSecond the expected rate, 0 or more
   * @return the time in seconds, infinite if the rate is zero
   */
  public double getSecondsUntil(double tokens, double perSecond) {
    return level >= tokens ? 0 : (tokens - level) / perSecond;
  }
}
