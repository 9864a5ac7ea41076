package io.fireflyshed.coordination.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Limits retries to a fraction of the requests, so that a failure of many targets at once does not
 * multiply the load on the others. Thread safe.
 *
 * <p>In any sliding window, retries are limited to a fraction of the requests of that window and an
 * allowance. Nothing is saved up beyond the window. The fractions of several processes therefore
 * add up to the same fraction of all their requests, however many processes there are and however
 * often they restart. Compare the retry budgets of the Finagle RPC library and of chapter 21 of
 * "Site Reliability Engineering" (Beyer et al., 2016).
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.5, Duration.ofSeconds(10), () -> 1);
 * budget.onRequest(0);
 * boolean isFirstAllowed = budget.tryRetry(0); // true: the allowance pays
 * boolean isSecondAllowed = budget.tryRetry(0); // false: half a retry is left
 * }</pre>
 */
public final class RetryBudget {

  /** The number of intervals of a window whose requests and retries are counted together. */
  private static final int INTERVALS = 20;

  private final double ratio;
  private final DoubleSupplier allowance;
  private final long intervalNanos;

  /** The counts by interval, one more than a window has, since the oldest is only partly in it. */
  private final int[] requests = new int[INTERVALS + 1];

  private final int[] retries = new int[INTERVALS + 1];
  private long interval;
  private boolean isStarted;

  /**
   * Creates a budget.
   *
   * @param ratio the fraction of the requests of a window that may be retried, 0 to 1
   * @param window the length of the window, at least a millisecond, not null
   * @param allowance supplies the number of retries that a window allows in addition, 0 or more;
   *     called for each retry, not null
   */
  public RetryBudget(double ratio, Duration window, DoubleSupplier allowance) {
    if (!(ratio >= 0 && ratio <= 1)) {
      throw new IllegalArgumentException("ratio must be in [0, 1]: " + ratio);
    }
    if (window.toMillis() < 1) {
      throw new IllegalArgumentException("window must be at least a millisecond: " + window);
    }
    this.ratio = ratio;
    this.allowance = Objects.requireNonNull(allowance, "allowance");
    this.intervalNanos = window.toNanos() / INTERVALS;
  }

  /**
   * Records the start of a request; not called for a retry.
   *
   * @param nowNanos the current reading of the monotonic clock
   */
  public synchronized void onRequest(long nowNanos) {
    advance(nowNanos);
    requests[getSlot(interval)]++;
  }

  /**
   * Records a retry if the budget suffices.
   *
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the retry may start
   */
  public boolean tryRetry(long nowNanos) {
    return tryRetry(1, nowNanos);
  }

  /**
   * Records a retry if a part of the budget suffices, which leaves the rest to other retries.
   *
   * @param usableFraction the fraction of the budget that all retries together may use up for this
   *     one to start, 0 to 1
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the retry may start
   */
  public synchronized boolean tryRetry(double usableFraction, long nowNanos) {
    if (!canRetry(usableFraction, nowNanos)) {
      return false;
    }
    retries[getSlot(interval)]++;
    return true;
  }

  /**
   * Tests whether a part of the budget suffices for a retry, without recording one.
   *
   * @param usableFraction the fraction of the budget that all retries together may use up, 0 to 1
   * @param nowNanos the current reading of the monotonic clock
   * @return whether a retry could start now
   */
  public synchronized boolean canRetry(double usableFraction, long nowNanos) {
    advance(nowNanos);
    int requestCount = 0;
    int retryCount = 0;
    for (int i = 0; i <= INTERVALS; i++) {
      int slot = getSlot(interval - i);
      retryCount += retries[slot];
      requestCount += i < INTERVALS ? requests[slot] : 0;
    }
    double allowed = ratio * requestCount + allowance.getAsDouble();
    return retryCount + 1 <= usableFraction * allowed;
  }

  /**
   * Takes back a retry that was recorded lately, as it did not start.
   *
   * @param nowNanos the current reading of the monotonic clock
   */
  public synchronized void refund(long nowNanos) {
    advance(nowNanos);
    // The retry was recorded in this interval or the one before it.
    int slot = getSlot(retries[getSlot(interval)] > 0 ? interval : interval - 1);
    retries[slot] = Math.max(0, retries[slot] - 1);
  }

  private void advance(long nowNanos) {
    long current = Math.floorDiv(nowNanos, intervalNanos);
    if (!isStarted) {
      isStarted = true;
      interval = current;
    }
    for (int i = 0; i <= INTERVALS && interval < current; i++) {
      interval++;
      requests[getSlot(interval)] = 0;
      retries[getSlot(interval)] = 0;
    }
    interval = Math.max(interval, current);
  }

  private static int getSlot(long interval) {
    return (int) Math.floorMod(interval, (long) INTERVALS + 1);
  }
}
