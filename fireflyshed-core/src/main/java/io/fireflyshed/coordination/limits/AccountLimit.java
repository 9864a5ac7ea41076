package io.fireflyshed.coordination.limits;

import java.util.Objects;

/**
 * Limits the requests of a client account over all entry processes together.
 *
 * @param account the client account, not null
 * @param weight the relative weight of the account in fair queueing when capacity is short,
 *     positive and finite
 * @param requestsPerSecond the maximum number of requests started per second, 0 for no limit
 * @param maxConcurrent the maximum number of concurrent requests, 0 for no limit
 */
public record AccountLimit(
    String account, double weight, double requestsPerSecond, int maxConcurrent) {

  /** Validates the components. */
  public AccountLimit {
    Objects.requireNonNull(account, "account");
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be positive and finite: " + weight);
    }
    if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
      throw new IllegalArgumentException(
          "requestsPerSecond must be finite and not negative: " + requestsPerSecond);
    }
    if (maxConcurrent < 0) {
      throw new IllegalArgumentException("maxConcurrent must not be negative: " + maxConcurrent);
    }
  }

  /**
   * Creates the record of an account without limits.
   *
   * @param account the client account, not null
   * @return a record with weight 1 and no limits, never null
   */
  public static AccountLimit ofUnlimited(String account) {
    return new AccountLimit(account, 1, 0, 0);
  }
}
