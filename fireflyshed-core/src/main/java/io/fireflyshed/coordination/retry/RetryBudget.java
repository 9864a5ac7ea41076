package io.fireflyshed.coordination.retry;

/**
 * Limits retries to a share of the requests, so that a failure of many targets at once does not
 * multiply the load on the others. Thread safe.
 *
 * <p>Each request deposits a fraction of a token and each retry takes a whole one. The balance is
 * bounded, so that a long quiet time does not pay for a storm. Source: the retry budgets of the
 * Finagle RPC library and of chapter 21 of "Site Reliability Engineering" (Beyer et al., 2016).
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.5, 10, 1);
 * budget.onRequest();
 * boolean isFirstAllowed = budget.tryRetry(); // true: the initial balance pays
 * boolean isSecondAllowed = budget.tryRetry(); // false: half a token is left
 * }</pre>
 */
public final class RetryBudget {

  private final double ratio;
  private final double maxBalance;
  private double balance;

  /**
   * Creates a budget.
   *
   * @param ratio the number of retries that each request pays for, 0 to 1
   * @param maxBalance the most retries that can be saved up, positive
   * @param initialBalance the number of retries that are allowed before the first request
   */
  public RetryBudget(double ratio, double maxBalance, double initialBalance) {
    if (!(ratio >= 0 && ratio <= 1) || !(maxBalance > 0) || !(initialBalance >= 0)) {
      throw new IllegalArgumentException("ratio or balance out of range");
    }
    this.ratio = ratio;
    this.maxBalance = maxBalance;
    this.balance = Math.min(initialBalance, maxBalance);
  }

  /** Takes in that a request, not a retry, starts. */
  public synchronized void onRequest() {
    balance = Math.min(maxBalance, balance + ratio);
  }

  /**
   * Takes the price of a retry if the balance allows it.
   *
   * @return whether the retry may start
   */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
