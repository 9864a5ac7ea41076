package io.fireflyshed.coordination.lease;

import java.util.Objects;

/** Names one request of a lease to the table service. */
public sealed interface LeaseAction {

  /** Reads both rows. */
  record Read() implements LeaseAction {}

  /**
   * Writes both rows, on condition that neither has changed.
   *
   * @param epoch the new epoch, 1 or more
   * @param attempt the id of this attempt, not null
   * @param epochVersion the required version of the epoch row, 0 if it must not exist
   * @param renewalVersion the required version of the renewal row, 0 if it must not exist
   */
  record TakeOver(long epoch, String attempt, long epochVersion, long renewalVersion)
      implements LeaseAction {

    /** Checks the parts of the record. */
    public TakeOver {
      Objects.requireNonNull(attempt, "attempt");
    }
  }

  /**
   * Writes the renewal row, on condition that the epoch row has not changed.
   *
   * @param epoch the epoch, 1 or more
   * @param attempt the id of this attempt, not null
   * @param epochVersion the required version of the epoch row, 1 or more
   */
  record Renew(long epoch, String attempt, long epochVersion) implements LeaseAction {

    /** Checks the parts of the record. */
    public Renew {
      Objects.requireNonNull(attempt, "attempt");
    }
  }

  /**
   * Hands the lease over at shutdown: writes an epoch row without a holder, so that the next
   * process need not wait.
   *
   * @param epoch the epoch, 1 or more
   * @param epochVersion the required version of the epoch row, 1 or more
   */
  record Release(long epoch, long epochVersion) implements LeaseAction {}
}
