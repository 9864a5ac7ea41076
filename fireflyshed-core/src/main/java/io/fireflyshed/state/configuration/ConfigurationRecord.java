package io.fireflyshed.state.configuration;

import io.fireflyshed.state.IdentifierUtils;
import java.util.Objects;

/**
 * Describes one accepted version of the configuration without its text. Immutable.
 *
 * @param version the place in the chain, 1 or more
 * @param attempt the identifier of the attempt that committed it, not null
 * @param author who applied it, not null
 * @param digest the SHA-256 of the text in lower-case hexadecimal digits, not null
 * @param summary what it changed, for people, not null
 */
public record ConfigurationRecord(
    long version, String attempt, String author, String digest, String summary) {

  /** Checks the parts of the record. */
  public ConfigurationRecord {
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
    IdentifierUtils.requireIdentifier("attempt", attempt);
    Objects.requireNonNull(author, "author");
    IdentifierUtils.requireIdentifier("digest", digest);
    Objects.requireNonNull(summary, "summary");
  }
}
