package io.fireflyshed.state.configuration;

import io.fireflyshed.state.IdentifierUtils;
import java.util.Objects;

/**
 * A version of the configuration history, without the text of the configuration. Immutable.
 *
 * @param version the number of the version in the history, 1 or more
 * @param attempt the id of the attempt that commits the version, not null
 * @param author who applied the version, not null
 * @param digest the SHA-256 digest of the text in lower-case hexadecimal digits, not null
 * @param summary a human-readable summary of the changes, not null
 */
public record ConfigurationRecord(
    long version, String attempt, String author, String digest, String summary) {

  /** Validates the components. */
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
