package io.fireflyshed.standins.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Configures the engine stand-ins of an {@link EngineFleet}.
 *
 * @param loadTime how long it takes to load a model, not null
 * @param stepTime the interval between two steps, in each of which every running request generates
 *     at most one token, positive, not null
 * @param maxBatchSize the maximum number of requests that run at the same time, positive
 * @param prefillTokensPerStep the maximum number of uncached prompt tokens that a request processes
 *     in a step, positive
 * @param cacheBlocks the capacity of the prefix cache in blocks, 0 or more
 * @param isFencingEnforced whether orders with an outdated fencing token are rejected; if so, the
 *     token survives a restart of the engine
 */
public record EngineSettings(
    Duration loadTime,
    Duration stepTime,
    int maxBatchSize,
    int prefillTokensPerStep,
    int cacheBlocks,
    boolean isFencingEnforced) {

  /** Validates the components. */
  public EngineSettings {
    Objects.requireNonNull(loadTime, "loadTime");
    Objects.requireNonNull(stepTime, "stepTime");
    if (stepTime.isZero() || stepTime.isNegative()) {
      throw new IllegalArgumentException("stepTime must be positive: " + stepTime);
    }
    if (maxBatchSize < 1 || prefillTokensPerStep < 1 || cacheBlocks < 0) {
      throw new IllegalArgumentException(
          "maxBatchSize and prefillTokensPerStep must be positive and cacheBlocks not negative");
    }
  }

  /**
   * Creates settings of a fast engine that enforces fencing, for tests and trial runs.
   *
   * @return the settings, never null
   */
  public static EngineSettings ofDefaults() {
    return new EngineSettings(Duration.ofMillis(300), Duration.ofMillis(5), 64, 256, 512, true);
  }
}
