package io.fireflyshed.state.configuration;

import java.util.Objects;

/**
 * The salted hash of an API key.
 *
 * @param salt the salt in hexadecimal digits, not null
 * @param hash the SHA-256 digest of the salt's text followed by the key, in hexadecimal digits, not
 *     null
 */
public record KeyHash(String salt, String hash) {

  /** Validates the components. */
  public KeyHash {
    Objects.requireNonNull(salt, "salt");
    Objects.requireNonNull(hash, "hash");
  }
}
