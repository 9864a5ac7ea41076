package io.fireflyshed.state.traffic;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Describes a client account of the traffic configuration.
 *
 * @param name the name, not null
 * @param priority the priority of its requests, 0 for the highest, which goes before that of their
 *     routes; empty if the routes decide, not null
 */
public record ClientAccount(String name, OptionalInt priority) {

  /** Validates the components. */
  public ClientAccount {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(priority, "priority");
  }
}
