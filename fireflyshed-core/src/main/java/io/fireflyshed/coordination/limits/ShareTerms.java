package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the terms on which processes lend each other shares; all processes must use the same.
 *
 * @param maxProcesses the most processes that are alive at the same time, 1 or more
 * @param lease how long a loan may be used, from the moment it was asked for, positive, not null
 * @param hold how long a use that started under a loan may last, zero for rates, not null
 * @param reserve the part of its base share that a process never lends, 0 to 1
 */
public record ShareTerms(int maxProcesses, Duration lease, Duration hold, double reserve) {

  /** The largest relative difference between the rate of a clock and true time. */
  static final double CLOCK_DRIFT = 0.01;

  /** Checks the parts of the record. */
  public ShareTerms {
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(hold, "hold");
    if (maxProcesses < 1) {
      throw new IllegalArgumentException("maxProcesses must be positive: " + maxProcesses);
    }
    if (lease.isZero() || lease.isNegative()) {
      throw new IllegalArgumentException("lease must be positive: " + lease);
    }
    if (hold.isNegative()) {
      throw new IllegalArgumentException("hold must not be negative: " + hold);
    }
    if (!(reserve >= 0 && reserve <= 1)) {
      throw new IllegalArgumentException("reserve must be 0 to 1: " + reserve);
    }
  }

  /** Gets how long a borrower counts on a loan after it asked for it. */
  long getBorrowNanos() {
    return (long) (lease.toNanos() * (1 - CLOCK_DRIFT));
  }

  /** Gets how long a lender counts a loan as used after it granted it. */
  long getLendNanos() {
    return (long) ((lease.toNanos() + hold.toNanos()) * (1 + 3 * CLOCK_DRIFT));
  }

  /** Gets how long a lender counts a reported use as going on. */
  long getHoldNanos() {
    return (long) (hold.toNanos() * (1 + 3 * CLOCK_DRIFT));
  }
}
