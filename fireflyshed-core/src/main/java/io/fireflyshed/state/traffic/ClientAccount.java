package io.fireflyshed.state.traffic;

import java.util.Objects;

/**
 * Describes a client account of the traffic configuration.
 *
 * @param name the name, not null
 * @param priority the priority of its requests, 0 for the highest
 */
public record ClientAccount(String name, int priority) {

  /** Validates the components. */
  public ClientAccount {
    Objects.requireNonNull(name, "name");
  }
}
