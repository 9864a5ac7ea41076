package io.fireflyshed.state.configuration;

import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Holds the configuration of one client account.
 *
 * @param name the account, not null
 * @param keys the hashes of its keys, copied, not null
 * @param requestsPerSecond the limit of requests, or empty for none, not null
 * @param tokensPerSecond the limit of tokens, or empty for none, not null
 */
public record AccountConfiguration(
    String name,
    List<KeyHash> keys,
    OptionalDouble requestsPerSecond,
    OptionalDouble tokensPerSecond) {

  /** Checks the parts of the record. */
  public AccountConfiguration {
    Objects.requireNonNull(name, "name");
    keys = List.copyOf(keys);
    Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    Objects.requireNonNull(tokensPerSecond, "tokensPerSecond");
  }
}
