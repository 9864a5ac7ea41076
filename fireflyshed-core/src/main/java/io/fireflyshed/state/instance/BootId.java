package io.fireflyshed.state.instance;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies one run of the process on an instance; a restart changes it.
 *
 * @param value the text of the identifier, 1 to 128 letters, digits, dots, dashes or underscores
 */
public record BootId(String value) implements Comparable<BootId> {

  /** Checks the text of the identifier. */
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
