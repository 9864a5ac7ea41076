package io.fireflyshed.coordination.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of a {@link RetryPolicy}.
 *
 * @param maxAttempts the most attempts for one request, including the first, positive
 * @param baseDelay the longest wait before the first retry, not negative, not null
 * @param maxDelay the longest wait before any retry, at least {@code baseDelay}, not null
 */
public record RetrySettings(int maxAttempts, Duration baseDelay, Duration maxDelay) {

  /** Validates the components. */
  public RetrySettings {
    Objects.requireNonNull(baseDelay, "baseDelay");
    Objects.requireNonNull(maxDelay, "maxDelay");
    if (maxAttempts < 1 || baseDelay.isNegative() || maxDelay.compareTo(baseDelay) < 0) {
      throw new IllegalArgumentException(
          "maxAttempts must be positive, baseDelay not negative and maxDelay not below baseDelay");
    }
  }

  /**
   * Creates the default settings.
   *
   * @return the settings, never null
   */
  public static RetrySettings ofDefaults() {
    return new RetrySettings(3, Duration.ofMillis(50), Duration.ofSeconds(1));
  }
}
