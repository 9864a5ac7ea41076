package io.fireflyshed.state.instance;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies one incarnation of the process on an instance. Each restart of the process creates a
 * new one.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record BootId(String value) implements Comparable<BootId> {

  /** Validates the identifier. */
  public BootId {
    IdentifierUtils.requireIdentifier("boot id", value);
  }

  @Override
  public int compareTo(BootId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
