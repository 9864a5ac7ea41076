package io.fireflyshed.coordination.limits;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the terms on which processes lend each other parts of their shares of a limit. All
 * processes must use the same terms.
 *
 * @param maxProcesses the maximum number of processes alive at the same time, 1 or more
 * @param lease how long a loan may be used, counted from the time of the demand, positive, not null
 * @param hold how long a use that started during the lease may last, not negative, zero for rates,
 *     not null
 * @param reserve the fraction of its base share that a process never lends, 0 to 1
 */
public record LoanTerms(int maxProcesses, Duration lease, Duration hold, double reserve) {

  /** The maximum relative deviation of the rate of a clock from true time. */
  static final double MAX_CLOCK_DRIFT = 0.01;

  /** Validates the components. */
  public LoanTerms {
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
      throw new IllegalArgumentException("reserve must be in the range 0 to 1: " + reserve);
    }
  }

  /** Gets the nanoseconds after a demand when the borrower treats the loan as expired. */
  long getBorrowerExpiryNanos() {
    return (long) (lease.toNanos() * (1 - MAX_CLOCK_DRIFT));
  }

  /** Gets the nanoseconds after a grant when the lender treats the loan as no longer in use. */
  long getLenderExpiryNanos() {
    return (long) ((lease.toNanos() + hold.toNanos()) * (1 + 3 * MAX_CLOCK_DRIFT));
  }

  /** Gets the nanoseconds after a report of use when the lender treats that use as ended. */
  long getUseExpiryNanos() {
    return (long) (hold.toNanos() * (1 + 3 * MAX_CLOCK_DRIFT));
  }
}
