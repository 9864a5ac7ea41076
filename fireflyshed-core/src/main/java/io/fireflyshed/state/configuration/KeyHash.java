package io.fireflyshed.state.configuration;

import java.util.Objects;

/**
 * Holds the salted hash of a key.
 *
 * @param salt the salt in hexadecimal digits, not null
 * @param hash the SHA-256 of the salt's text followed by the key, in hexadecimal digits, not null
 */
public record KeyHash(String salt, String hash) {

  /** Checks the parts of the record. */
  public KeyHash {
    Objects.requireNonNull(salt, "salt");
    Objects.requireNonNull(hash, "hash");
  }
}
