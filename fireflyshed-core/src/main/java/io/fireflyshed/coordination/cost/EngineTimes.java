package io.fireflyshed.coordination.cost;

import io.fireflyshed.state.traffic.ContextProfile;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import io.fireflyshed.state.traffic.ServiceProfile;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.util.List;
import java.util.Optional;

/**
 * Computes the processing times of an engine that runs a model. Times are in milliseconds.
 * Immutable.
 *
 * @param profile the profile of the engine, not null
 * @param factor the factor on all times when the engine runs the model, positive
 */
record EngineTimes(EngineProfile profile, double factor) {

  private static final double NANOS_PER_MILLI = 1e6;

  /** The mean length of prompts of an engine that states none. */
  private static final int DEFAULT_PROMPT_TOKENS = 500;

  /** The most tokens that a request counts with at an engine that states no memory. */
  private static final long DEFAULT_MAX_TOKENS = 1_000_000;

  /** Finds the engine that runs a model. */
  static Optional<EngineTimes> find(TrafficConfiguration configuration, String model) {
    for (ServiceProfile service : configuration.services().values()) {
      for (ModelProfile candidate : service.engine().map(EngineProfile::models).orElse(List.of())) {
        if (candidate.name().equals(model)) {
          return Optional.of(
              new EngineTimes(service.engine().orElseThrow(), candidate.slowdownFactor()));
        }
      }
    }
    return Optional.empty();
  }

  double getPrefillMillis(double tokens) {
    double pairs = tokens * tokens / 2 / 1e6;
    double pairMillis =
        profile.context().prefillTimePerMillionPairs().toNanos() / NANOS_PER_MILLI * pairs;
    return factor * (tokens / profile.prefillTokensPerSecond() * 1000 + pairMillis);
  }

  /** Returns the part of a decoding step that one request takes, which has a given context. */
  double getSequenceMillis(double contextTokens) {
    ContextProfile context = profile.context();
    double contextMillis =
        context.stepTimePerThousandTokens().toNanos() / NANOS_PER_MILLI * contextTokens / 1000;
    return factor * (profile.stepTimePerSequence().toNanos() / NANOS_PER_MILLI + contextMillis);
  }

  /** Returns the part of a decoding step that doesn't depend on the requests. */
  double getStepMillis() {
    return factor * profile.stepTime().toNanos() / NANOS_PER_MILLI;
  }

  /** Returns the duration of a pass in which some requests of usual length are decoded. */
  double getPassMillis(double requests) {
    double running = Math.min(requests, profile.slots());
    double context = getMeanPromptTokens() + profile.meanOutputTokens() / 2.0;
    return profile.stepsPerPass() * (getStepMillis() + running * getSequenceMillis(context));
  }

  /** Returns the most tokens that a prompt or an output counts with, whatever callers state. */
  double getMaxTokens() {
    long memory = profile.context().memoryTokens();
    return memory > 0 ? memory : DEFAULT_MAX_TOKENS;
  }

  int getMeanPromptTokens() {
    int stated = profile.context().meanPromptTokens();
    return stated > 0 ? stated : DEFAULT_PROMPT_TOKENS;
  }
}
