package io.fireflyshed.coordination.retry;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/**
 * Holds a retry budget for each service, so that the requests of one service don't pay for retries
 * at another. Thread safe.
 */
public final class ServiceRetryBudgets {

  /**
   * The fraction of a budget that retries of attempts that did not run may use up. Their callers
   * can be asked to come back, while the response of an attempt that broke off is lost.
   */
  private static final double NOT_RUN_FRACTION = 0.5;

  private final double ratio;
  private final Duration window;
  private final DoubleSupplier allowance;
  private final Map<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

  /**
   * Creates a holder without budgets.
   *
   * @param ratio the fraction of the requests of a window that may be retried, 0 to 1
   * @param window the length of the window, at least a millisecond, not null
   * @param allowance supplies the number of retries that a window allows each service in addition,
   *     0 or more, not null
   */
  public ServiceRetryBudgets(double ratio, Duration window, DoubleSupplier allowance) {
    this.ratio = ratio;
    this.window = Objects.requireNonNull(window, "window");
    this.allowance = Objects.requireNonNull(allowance, "allowance");
  }

  /**
   * Records the start of a request; not called for a retry.
   *
   * @param service the service that is to run the request, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public void onRequest(ServiceName service, long nowNanos) {
    getBudget(service).onRequest(nowNanos);
  }

  /**
   * Records a retry if the budget of the service suffices.
   *
   * @param service the service that is to run the request, not null
   * @param outcome the outcome of the failed attempt, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return whether the retry may start
   */
  public boolean tryRetry(ServiceName service, Outcome outcome, long nowNanos) {
    return getBudget(service).tryRetry(getUsableFraction(outcome), nowNanos);
  }

  /**
   * Tests whether the budget of a service suffices for a retry, without recording one.
   *
   * @param service the service that is to run the request, not null
   * @param outcome the outcome of the failed attempt, not null
   * @param nowNanos the current reading of the monotonic clock
   * @return whether a retry could start now
   */
  public boolean canRetry(ServiceName service, Outcome outcome, long nowNanos) {
    return getBudget(service).canRetry(getUsableFraction(outcome), nowNanos);
  }

  /**
   * Takes back a retry that was recorded, but not sent to a target.
   *
   * @param service the service that was to run the request, not null
   * @param nowNanos the current reading of the monotonic clock
   */
  public void refund(ServiceName service, long nowNanos) {
    getBudget(service).refund(nowNanos);
  }

  private static double getUsableFraction(Outcome outcome) {
    return outcome == Outcome.NOT_RUN ? NOT_RUN_FRACTION : 1;
  }

  private RetryBudget getBudget(ServiceName service) {
    return budgets.computeIfAbsent(service, s -> new RetryBudget(ratio, window, allowance));
  }
}
