package io.fireflyshed.state.configuration;

import java.util.Objects;

/**
 * The head of the configuration history as it was read from the table service.
 *
 * @param record the newest accepted version, not null
 * @param rowVersion the row version that the table service gave to the head, 1 or more
 */
public record ConfigurationHead(ConfigurationRecord record, long rowVersion) {

  /** Validates the components. */
  public ConfigurationHead {
    Objects.requireNonNull(record, "record");
    if (rowVersion < 1) {
      throw new IllegalArgumentException("rowVersion must be positive: " + rowVersion);
    }
  }
}
