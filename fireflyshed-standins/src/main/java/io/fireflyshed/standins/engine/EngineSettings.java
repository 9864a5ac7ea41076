package io.fireflyshed.standins.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the properties of stand-in engines.
 *
 * @param loadTime the time to load a model, not null
 * @param stepTime the time of one step of the batch, in which each running request gets a token,
 *     positive, not null
 * @param maxBatch the most requests in the batch, positive
 * @param prefillTokensPerStep the most prompt tokens outside the cache that a request computes in a
 *     step, positive
 * @param cacheBlocks the capacity of the prefix cache in blocks, 0 or more
 * @param isFencing whether an order with an old fencing number is refused
 */
public record EngineSettings(
    Duration loadTime,
    Duration stepTime,
    int maxBatch,
    int prefillTokensPerStep,
    int cacheBlocks,
    boolean isFencing) {

  /** Checks the parts of the record. */
  public EngineSettings {
    Objects.requireNonNull(loadTime, "loadTime");
    Objects.requireNonNull(stepTime, "stepTime");
    if (stepTime.isZero() || stepTime.isNegative()) {
      throw new IllegalArgumentException("stepTime must be positive: " + stepTime);
    }
    if (maxBatch < 1 || prefillTokensPerStep < 1 || cacheBlocks < 0) {
      throw new IllegalArgumentException("maxBatch, prefillTokensPerStep or cacheBlocks too small");
    }
  }

  /**
   * Creates the settings of a quick engine for tests and trials.
   *
   * @return the settings, never null
   */
  public static EngineSettings ofDefaults() {
    return new EngineSettings(Duration.ofMillis(300), Duration.ofMillis(5), 64, 256, 512, true);
  }
}
