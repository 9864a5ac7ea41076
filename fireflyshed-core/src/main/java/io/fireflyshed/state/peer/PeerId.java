package io.fireflyshed.state.peer;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies one run of an entry process. Each restart of the process creates a new id.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record PeerId(String value) implements Comparable<PeerId> {

  /** Validates the identifier. */
  public PeerId {
    IdentifierUtils.requireIdentifier("peer", value);
  }

  @Override
  public int compareTo(PeerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
