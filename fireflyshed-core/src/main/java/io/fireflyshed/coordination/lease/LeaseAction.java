package io.fireflyshed.coordination.lease;

import java.util.Objects;

/** A request of a {@link ZoneLease} to the table service. */
public sealed interface LeaseAction {

  /** Reads the epoch row and the renewal row. */
  record Read() implements LeaseAction {}

  /**
   * Takes over the lease: writes both rows, provided that neither has changed.
   *
   * @param epoch the new epoch, 1 or more
   * @param attempt the id of this attempt, not null
   * @param epochVersion the required version of the epoch row, 0 if the row must not exist
   * @param renewalVersion the required version of the renewal row, 0 if the row must not exist
   */
  record TakeOver(long epoch, String attempt, long epochVersion, long renewalVersion)
      implements LeaseAction {

    /** Validates the components. */
    public TakeOver {
      Objects.requireNonNull(attempt, "attempt");
    }
  }

  /**
   * Renews the lease: writes the renewal row, provided that the epoch row has not changed.
   *
   * @param epoch the epoch, 1 or more
   * @param attempt the id of this attempt, not null
   * @param epochVersion the required version of the epoch row, 1 or more
   */
  record Renew(long epoch, String attempt, long epochVersion) implements LeaseAction {

    /** Validates the components. */
    public Renew {
      Objects.requireNonNull(attempt, "attempt");
    }
  }

  /**
   * Releases the lease at shutdown: writes an epoch row without a holder, provided that the row has
   * not changed. The next holder then need not wait for the lease to expire.
   *
   * @param epoch the epoch, 1 or more
   * @param epochVersion the required version of the epoch row, 1 or more
   */
  record Release(long epoch, long epochVersion) implements LeaseAction {}
}
