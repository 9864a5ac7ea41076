package io.fireflyshed.coordination.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of a {@link RetryPolicy}.
 *
 * @param maxAttempts the most attempts for one request, the first included, positive
 * @param baseDelay the longest wait before the first retry, not null
 * @param maxDelay the longest wait before any retry, not null
 */
public record RetrySettings(int maxAttempts, Duration baseDelay, Duration maxDelay) {

  /** Checks the parts of the record. */
  public RetrySettings {
    Objects.requireNonNull(baseDelay, "baseDelay");
    Objects.requireNonNull(maxDelay, "maxDelay");
    if (maxAttempts < 1 || baseDelay.isNegative() || maxDelay.compareTo(baseDelay) < 0) {
      throw new IllegalArgumentException("maxAttempts or delays out of range");
    }
  }

  /**
   * Creates the settings of an entry.
   *
   * @return the settings, never null
   */
  public static RetrySettings ofDefaults() {
    return new RetrySettings(3, Duration.ofMillis(50), Duration.ofSeconds(1));
  }
}
