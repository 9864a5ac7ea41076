package io.fireflyshed.state.peer;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies one run of an entry process; a restart changes it.
 *
 * @param value the text of the identifier, 1 to 128 letters, digits, dots, dashes or underscores
 */
public record PeerId(String value) implements Comparable<PeerId> {

  /** Checks the text of the identifier. */
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
