package io.fireflyshed.coordination.limits;

import java.time.Duration;

/**
 * A token bucket whose rate may change. Not thread safe.
 *
 * <p>The bucket holds at most the tokens that the current rate adds within the burst time, but
 * always has room for one token. When the rate falls, excess tokens are discarded at once.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final double burstSeconds;
  private double tokens;
  private double rate;
  private long lastRefillNanos;

  /**
   * Creates an empty bucket.
   *
   * @param burst the time for which tokens accumulate, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public TokenBucket(Duration burst, long nowNanos) {
    burstSeconds = burst.toNanos() / NANOS_PER_SECOND;
    lastRefillNanos = nowNanos;
  }

  /**
   * Refills the bucket up to now at the lower of the old and the new rate, then sets the new rate.
   *
   * @param perSecond the number of tokens added per second, 0 or more
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public void setRate(double perSecond, long nowNanos) {
    double accrued = Math.min(rate, perSecond) * (nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
    rate = perSecond;
    lastRefillNanos = nowNanos;
    tokens = Math.min(tokens + accrued, Math.max(1, rate * burstSeconds));
  }

  /**
   * Takes one token if one is available.
   *
   * @return true if a token was taken
   */
  public boolean tryAcquire() {
    if (!isTokenAvailable()) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Tests whether a token is available.
   *
   * @return true if {@link #tryAcquire} would succeed
   */
  public boolean isTokenAvailable() {
    return tokens >= 1;
  }

  /**
   * Estimates the time until the bucket holds a number of tokens.
   *
   * @param count the number of tokens, positive
   * @param perSecond the expected rate in tokens per second, 0 or more
   * @return the time in seconds, 0 if the tokens are available now, infinite if the rate is zero
   */
  public double estimateWaitSeconds(double count, double perSecond) {
    return tokens >= count ? 0 : (count - tokens) / perSecond;
  }
}
