package io.fireflyshed.coordination.lease;

import java.util.List;
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
   * @param restoreCount the restore count of the table service under which the rows were read
   * @param raiseReasons why the epoch is above the next one, empty if it is the next one, copied,
   *     not null
   */
  record TakeOver(
      long epoch,
      String attempt,
      long epochVersion,
      long renewalVersion,
      long restoreCount,
      List<String> raiseReasons)
      implements LeaseAction {

    /** Validates the components and copies the list. */
    public TakeOver {
      Objects.requireNonNull(attempt, "attempt");
      raiseReasons = List.copyOf(raiseReasons);
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
   * @param restoreCount the restore count of the table service under which the lease was held
   */
  record Release(long epoch, long epochVersion, long restoreCount) implements LeaseAction {}
}
