package io.fireflyshed.coordination.cost;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import java.util.Optional;

/**
 * Estimates what requests cost, from the profile of the engine and from requests that ended. What
 * is learned is bounded and forgets. Thread safe.
 */
public final class CostEstimator {

  /** The most routes whose service times are known. */
  private static final int MAX_ROUTES = 1024;

  private static final double MIN_WEIGHT = 0.02;

  /** The service time of a request of which nothing is known. */
  private static final double DEFAULT_SERVICE_MILLIS = 100;

  private final OutputLearner outputs = new OutputLearner();
  private final BoundedMoments<String> serviceTimes = new BoundedMoments<>(MAX_ROUTES, MIN_WEIGHT);

  /**
   * Estimates the cost of a request.
   *
   * @param request the request, not null
   * @param engine the engine of its pool, empty for targets without a profile, not null
   * @param slots the number of requests that a target runs at the same time, at least 1
   * @return the estimate, never null
   */
  synchronized WorkEstimate estimate(
      RequestDescriptor request, Optional<EngineTimes> engine, int slots) {
    if (engine.isEmpty()) {
      RunningMoments time = serviceTimes.get(request.route());
      double millis = time == null ? DEFAULT_SERVICE_MILLIS : time.getMean();
      double spread = time == null ? 1 : Math.sqrt(time.getVariance()) / Math.max(1, millis);
      int samples = time == null ? 0 : time.getSamples();
      return new WorkEstimate(0, 0, millis / slots, 0, spread, samples);
    }
    EngineTimes times = engine.get();
    OutputLearner.Prediction output = outputs.predict(request, times.profile().meanOutputTokens());
    double prompt = Math.min(request.promptTokens(), times.getMaxTokens());
    double steps = Math.min(output.tokens(), times.getMaxTokens());
    return new WorkEstimate(
        times.getPrefillMillis(prompt),
        steps,
        times.getStepMillis() / slots + times.getSequenceMillis(prompt + steps / 2),
        prompt + steps,
        output.spread(),
        output.samples());
  }

  /**
   * Records the output of a generation whose stream came whole from its start.
   *
   * @param request the request, not null
   * @param tokens the number of tokens
   */
  synchronized void onOutput(RequestDescriptor request, double tokens) {
    outputs.onOutput(request, tokens);
  }

  /**
   * Records how long a target needed for a request that isn't a generation.
   *
   * @param request the request, not null
   * @param millis the time from its start to its end at a target that is as fast as its kind
   */
  synchronized void onServiceTime(RequestDescriptor request, double millis) {
    serviceTimes.add(request.route(), millis);
  }
}
