package io.fireflyshed.state.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Describes the performance of the engines of a model service and the models that they can run.
 *
 * @param slots the number of requests that a replica runs concurrently, at least 1
 * @param stepTime the duration of a decoding step of an otherwise idle replica, not null
 * @param stepTimePerSequence the time that each running request adds to a decoding step, not null
 * @param stepsPerPass the number of decoding steps in one pass, at least 1
 * @param prefillTokensPerSecond the number of prompt tokens that a replica processes per second,
 *     positive
 * @param prefillChunkTokens the maximum number of prompt tokens that are processed in one step, at
 *     least 1
 * @param meanOutputTokens the mean number of generated tokens per request, at least 1
 * @param loadsPerSecond the number of loads of weights from the shared store that may start per
 *     second, positive
 * @param fullSpeedLoads the number of concurrent loads of weights that don't slow each other down,
 *     at least 1
 * @param openTime the time that a replica needs to open, not null
 * @param reportLag the delay with which reports reflect the state of an engine, not null
 * @param models the models, copied, not null
 * @param context what the context of requests costs, not null
 */
public record EngineProfile(
    int slots,
    Duration stepTime,
    Duration stepTimePerSequence,
    int stepsPerPass,
    double prefillTokensPerSecond,
    int prefillChunkTokens,
    int meanOutputTokens,
    double loadsPerSecond,
    int fullSpeedLoads,
    Duration openTime,
    Duration reportLag,
    List<ModelProfile> models,
    ContextProfile context) {

  /** Validates the components. */
  public EngineProfile {
    Objects.requireNonNull(stepTime, "stepTime");
    Objects.requireNonNull(stepTimePerSequence, "stepTimePerSequence");
    Objects.requireNonNull(openTime, "openTime");
    Objects.requireNonNull(reportLag, "reportLag");
    models = List.copyOf(models);
    Objects.requireNonNull(context, "context");
    if (slots < 1 || stepsPerPass < 1 || !(prefillTokensPerSecond > 0) || !(loadsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "slots, steps per pass, prefill rate and load rate must be positive");
    }
  }

  /** Creates a profile that states nothing about the context of requests. */
  public EngineProfile(
      int slots,
      Duration stepTime,
      Duration stepTimePerSequence,
      int stepsPerPass,
      double prefillTokensPerSecond,
      int prefillChunkTokens,
      int meanOutputTokens,
      double loadsPerSecond,
      int fullSpeedLoads,
      Duration openTime,
      Duration reportLag,
      List<ModelProfile> models) {
    this(
        slots,
        stepTime,
        stepTimePerSequence,
        stepsPerPass,
        prefillTokensPerSecond,
        prefillChunkTokens,
        meanOutputTokens,
        loadsPerSecond,
        fullSpeedLoads,
        openTime,
        reportLag,
        models,
        ContextProfile.NONE);
  }
}
