package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Configures account limits and the request queue.
 *
 * @param accounts the limits of client accounts, copied, not null; an account that is not listed
 *     has no limits
 * @param rateTerms the terms of loans of rate shares, not null
 * @param concurrencyTerms the terms of loans of concurrency shares, not null; the hold is the
 *     maximum run time of a request
 * @param burst the time for which unused tokens of an account accumulate, not null
 * @param maxWait the maximum time that a request is queued, not null
 * @param maxQueued the maximum number of queued requests, 1 or more
 */
public record LimitSettings(
    List<AccountLimit> accounts,
    LoanTerms rateTerms,
    LoanTerms concurrencyTerms,
    Duration burst,
    Duration maxWait,
    int maxQueued) {

  /** The fraction of a base share of a rate limit that is never lent. */
  public static final double RATE_RESERVE = 0.04;

  /** The fraction of a base share of a concurrency limit that is never lent. */
  public static final double CONCURRENCY_RESERVE = 0.25;

  /** Validates the components and copies the list. */
  public LimitSettings {
    accounts = List.copyOf(accounts);
    Objects.requireNonNull(rateTerms, "rateTerms");
    Objects.requireNonNull(concurrencyTerms, "concurrencyTerms");
    Objects.requireNonNull(burst, "burst");
    Objects.requireNonNull(maxWait, "maxWait");
    if (maxQueued < 1) {
      throw new IllegalArgumentException("maxQueued must be positive: " + maxQueued);
    }
    if (accounts.stream().map(AccountLimit::account).distinct().count() != accounts.size()) {
      throw new IllegalArgumentException("duplicate limits for an account");
    }
  }

  /**
   * Creates settings with a burst of one second and the default reserves.
   *
   * @param accounts the limits of client accounts, not null
   * @param maxProcesses the maximum number of entry processes alive at the same time, 1 or more
   * @param lease how long a loan of a share may be used, not null
   * @param maxRunTime the maximum run time of a request, not null
   * @param maxWait the maximum time that a request is queued, not null
   * @param maxQueued the maximum number of queued requests, 1 or more
   * @return the settings, never null
   */
  public static LimitSettings of(
      List<AccountLimit> accounts,
      int maxProcesses,
      Duration lease,
      Duration maxRunTime,
      Duration maxWait,
      int maxQueued) {
    return new LimitSettings(
        accounts,
        new LoanTerms(maxProcesses, lease, Duration.ZERO, RATE_RESERVE),
        new LoanTerms(maxProcesses, lease, maxRunTime, CONCURRENCY_RESERVE),
        Duration.ofSeconds(1),
        maxWait,
        maxQueued);
  }
}
