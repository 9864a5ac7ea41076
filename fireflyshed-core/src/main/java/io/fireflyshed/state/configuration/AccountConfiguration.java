package io.fireflyshed.state.configuration;

import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The configuration of one client account.
 *
 * @param name the name of the account, not null
 * @param keys the hashes of its API keys, copied, not null
 * @param requestsPerSecond the maximum number of requests per second, empty for no limit, not null
 * @param tokensPerSecond the maximum number of tokens per second, empty for no limit, not null
 */
public record AccountConfiguration(
    String name,
    List<KeyHash> keys,
    OptionalDouble requestsPerSecond,
    OptionalDouble tokensPerSecond) {

  /** Validates the components. */
  public AccountConfiguration {
    Objects.requireNonNull(name, "name");
    keys = List.copyOf(keys);
    Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    Objects.requireNonNull(tokensPerSecond, "tokensPerSecond");
  }
}
