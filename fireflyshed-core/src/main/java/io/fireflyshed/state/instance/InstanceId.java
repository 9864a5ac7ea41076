package io.fireflyshed.state.instance;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies an instance of the platform.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Validates the identifier. */
  public InstanceId {
    IdentifierUtils.requireIdentifier("instance", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
