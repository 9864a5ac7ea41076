package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Describes the engines of a model service.
 *
 * @param slots the requests that a replica runs at once, at least 1
 * @param step the time of one token step of an otherwise idle replica, not null
 * @param stepPerSequence the time that each running request adds to a step, not null
 * @param stepsPerPass the number of token steps of one pass, at least 1
 * @param readTokensPerSecond the prompt tokens that a replica reads in a second, positive
 * @param chunkTokens the most prompt tokens that are read in one step, at least 1
 * @param usualAnswerTokens the mean number of tokens of an answer, at least 1
 * @param loadsPerSecond the loads from the shared store that may begin in a second, positive
 * @param loadsAtOnce the loads that run at full speed beside each other, at least 1
 * @param openTime the time in which a replica opens, not null
 * @param reportLag the age of what a report says, not null
 * @param models the models, not null
 */
public record EngineProfile(
    int slots,
    Duration step,
    Duration stepPerSequence,
    int stepsPerPass,
    double readTokensPerSecond,
    int chunkTokens,
    int usualAnswerTokens,
    double loadsPerSecond,
    int loadsAtOnce,
    Duration openTime,
    Duration reportLag,
    List<ModelProfile> models) {

  /** Checks the parts of the record. */
  public EngineProfile {
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(stepPerSequence, "stepPerSequence");
    Objects.requireNonNull(openTime, "openTime");
    Objects.requireNonNull(reportLag, "reportLag");
    models = List.copyOf(models);
    if (slots < 1 || stepsPerPass < 1 || !(readTokensPerSecond > 0) || !(loadsPerSecond > 0)) {
      throw new IllegalArgumentException("slots, steps, reading and loads must be positive");
    }
  }
}
