package io.fireflyshed.coordination.retry;

/**
 * Limits retries to a fraction of the requests, so that a failure of many targets at once does not
 * multiply the load on the others. Thread safe.
 *
 * <p>Each request deposits a fraction of a token and each retry takes a whole token. The balance is
 * bounded, so that a long quiet period does not save up tokens for a retry storm. Source: the retry
 * budgets of the Finagle RPC library and of chapter 21 of "Site Reliability Engineering" (Beyer et
 * al., 2016).
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
   * @param ratio the number of tokens that each request deposits, 0 to 1
   * @param maxBalance the most tokens that can be saved, positive
   * @param initialBalance the tokens available before the first request, 0 or more
   */
  public RetryBudget(double ratio, double maxBalance, double initialBalance) {
    if (!(ratio >= 0 && ratio <= 1) || !(maxBalance > 0) || !(initialBalance >= 0)) {
      throw new IllegalArgumentException(
          "ratio must be in [0, 1], maxBalance positive and initialBalance not negative");
    }
    this.ratio = ratio;
    this.maxBalance = maxBalance;
    this.balance = Math.min(initialBalance, maxBalance);
  }

  /** Records the start of a request; not called for a retry. */
  public synchronized void onRequest() {
    balance = Math.min(maxBalance, balance + ratio);
  }

  /**
   * Takes a token for a retry if the balance suffices.
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
