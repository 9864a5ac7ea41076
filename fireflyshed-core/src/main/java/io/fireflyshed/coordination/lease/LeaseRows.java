package io.fireflyshed.coordination.lease;

import java.util.Objects;
import java.util.Optional;

/**
 * The two rows of a lease as they were read together. The epoch row changes only when the lease is
 * taken over or released, so a transaction that requires its version is not affected by renewals.
 *
 * @param epoch the epoch row, empty if it does not exist, not null
 * @param renewal the renewal row, empty if it does not exist, not null
 * @param restoreCount how often the table service was restored from an older copy when it responded
 */
public record LeaseRows(Optional<Entry> epoch, Optional<Entry> renewal, long restoreCount) {

  /**
   * One row of a lease.
   *
   * @param version the version of the row, 1 or more
   * @param epoch the epoch, 1 or more
   * @param attempt the id of the attempt that wrote the row, not null
   * @param restoreCount the restore count that the writer of the row knew, 0 if the row doesn't
   *     tell, as rows of earlier releases
   */
  public record Entry(long version, long epoch, String attempt, long restoreCount) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the version or the epoch is not positive
     */
    public Entry {
      Objects.requireNonNull(attempt, "attempt");
      if (version < 1 || epoch < 1) {
        throw new IllegalArgumentException(
            "version and epoch must be positive; version: " + version);
      }
    }
  }

  /** Validates the components. */
  public LeaseRows {
    Objects.requireNonNull(epoch, "epoch");
    Objects.requireNonNull(renewal, "renewal");
  }

  /**
   * Counts the restores since the epoch row was written. Each of them may have lost the epochs of
   * later coordinators, and the row may name a holder whose successor is still at work.
   *
   * @return the number, 0 if the row is the latest that was ever written
   */
  public long countRestoresSinceWritten() {
    return Math.max(0, restoreCount - epoch.map(Entry::restoreCount).orElse(0L));
  }

  /**
   * Returns the version of the epoch row.
   *
   * @return the version, 0 if the row does not exist
   */
  public long getEpochVersion() {
    return epoch.map(Entry::version).orElse(0L);
  }

  /**
   * Returns the version of the renewal row.
   *
   * @return the version, 0 if the row does not exist
   */
  public long getRenewalVersion() {
    return renewal.map(Entry::version).orElse(0L);
  }
}
