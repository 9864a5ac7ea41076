package io.fireflyshed.state.configuration;

import java.util.Objects;

/**
 * Holds the end of the chain as it was read.
 *
 * @param record the newest accepted version, not null
 * @param rowVersion the version that the table service gave to the row, 1 or more
 */
public record ConfigurationHead(ConfigurationRecord record, long rowVersion) {

  /** Checks the parts of the record. */
  public ConfigurationHead {
    Objects.requireNonNull(record, "record");
    if (rowVersion < 1) {
      throw new IllegalArgumentException("rowVersion must be positive: " + rowVersion);
    }
  }
}
