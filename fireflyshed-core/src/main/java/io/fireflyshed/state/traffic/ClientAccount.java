package io.fireflyshed.state.traffic;

import java.util.Objects;

/**
 * Names a client account of the traffic configuration.
 *
 * @param name the name, not null
 * @param priority the rank of its requests, 0 is the most urgent
 */
public record ClientAccount(String name, int priority) {

  /** Checks the parts of the record. */
  public ClientAccount {
    Objects.requireNonNull(name, "name");
  }
}
