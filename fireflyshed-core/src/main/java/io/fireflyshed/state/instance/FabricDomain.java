package io.fireflyshed.state.instance;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies a fabric domain, a group of instances that share a fast interconnect.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record FabricDomain(String value) implements Comparable<FabricDomain> {

  /** Validates the identifier. */
  public FabricDomain {
    IdentifierUtils.requireIdentifier("fabric domain", value);
  }

  @Override
  public int compareTo(FabricDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
