package io.fireflyshed.state.replica;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies a replica of a model service.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

  /** Validates the identifier. */
  public ReplicaId {
    IdentifierUtils.requireIdentifier("replica", value);
  }

  @Override
  public int compareTo(ReplicaId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
