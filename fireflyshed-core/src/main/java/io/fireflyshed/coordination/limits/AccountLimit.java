package io.fireflyshed.coordination.limits;

import java.util.Objects;

/**
 * States what a client account may use over all entry processes.
 *
 * @param account the client account, not null
 * @param weight the weight against other accounts when capacity is short, positive
 * @param requestsPerSecond the most requests started in a second, 0 for no limit
 * @param maxConcurrent the most requests that run at the same time, 0 for no limit
 */
public record AccountLimit(
    String account, double weight, double requestsPerSecond, int maxConcurrent) {

  /** Checks the parts of the record. */
  public AccountLimit {
    Objects.requireNonNull(account, "account");
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive: " + weight);
    }
    if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
      throw new IllegalArgumentException(
          "requestsPerSecond must be 0 or more: " + requestsPerSecond);
    }
    if (maxConcurrent < 0) {
      throw new IllegalArgumentException("maxConcurrent must be 0 or more: " + maxConcurrent);
    }
  }

  /**
   * Creates the limit of an account that has none.
   *
   * @param account the client account, not null
   * @return a limit of weight 1 that bounds nothing, never null
   */
  public static AccountLimit ofUnlimited(String account) {
    return new AccountLimit(account, 1, 0, 0);
  }
}
