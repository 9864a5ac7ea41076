package io.fireflyshed.state.replica;

import io.fireflyshed.state.IdentifierUtils;

/**
 * Names a model service or a plain service.
 *
 * @param value the text of the identifier, 1 to 128 letters, digits, dots, dashes or underscores
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /** Checks the text of the identifier. */
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
