package io.fireflyshed.coordination.assignment;

import java.util.Objects;

/**
 * A stored replica with the version of its row.
 *
 * @param stored the replica, not null
 * @param version the version of the row, 1 or more
 */
public record VersionedAssignment(StoredAssignment stored, long version) {

  /** Validates the components. */
  public VersionedAssignment {
    Objects.requireNonNull(stored, "stored");
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
  }
}
