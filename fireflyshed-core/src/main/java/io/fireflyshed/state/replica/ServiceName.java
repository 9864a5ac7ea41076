package io.fireflyshed.state.replica;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Identifies a model service or a plain service.
 *
 * @param value the identifier, 1 to 128 letters, digits, dots, dashes or underscores, not null
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /** Validates the identifier. */
  public ServiceName {
    IdentifierUtils.requireIdentifier("service", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
