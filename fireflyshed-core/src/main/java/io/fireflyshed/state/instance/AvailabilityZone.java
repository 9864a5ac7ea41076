package io.fireflyshed.state.instance;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies an availability zone.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

  /** Validates the identifier. */
  public AvailabilityZone {
    IdentifierUtils.requireIdentifier("availability zone", value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
