package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Holds the settings of limits and queues.
 *
 * @param accounts the limits of client accounts, copied; others have none, not null
 * @param rateTerms the terms of loans of rates, not null
 * @param concurrencyTerms the terms of loans of places to run in; the hold is the longest time that
 *     a request may run, not null
 * @param burst the time whose requests an account may save up, not null
 * @param maxWait the longest wait in the queue, not null
 * @param maxQueued the most requests that wait, 1 or more
 */
public record LimitSettings(
    List<AccountLimit> accounts,
    ShareTerms rateTerms,
    ShareTerms concurrencyTerms,
    Duration burst,
    Duration maxWait,
    int maxQueued) {

  /** The part of a base share of a rate that is never lent. */
  public static final double RATE_RESERVE = 0.04;

  /** The part of a base share of places to run in that is never lent. */
  public static final double CONCURRENCY_RESERVE = 0.25;

  /** Checks the parts and copies the list. */
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
      throw new IllegalArgumentException("an account has two limits");
    }
  }

  /**
   * Creates settings.
   *
   * @param accounts the limits of client accounts, not null
   * @param maxProcesses the most entry processes that are alive at the same time, 1 or more
   * @param lease how long a loan may be used, not null
   * @param maxRunTime the longest time that a request may run, not null
   * @param maxWait the longest wait in the queue, not null
   * @param maxQueued the most requests that wait, 1 or more
   * @return the settings with a burst of one second, never null
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
        new ShareTerms(maxProcesses, lease, Duration.ZERO, RATE_RESERVE),
        new ShareTerms(maxProcesses, lease, maxRunTime, CONCURRENCY_RESERVE),
        Duration.ofSeconds(1),
        maxWait,
        maxQueued);
  }
}
