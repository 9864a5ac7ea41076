package io.fireflyshed.coordination.cost;

import io.fireflyshed.coordination.placement.RequestDescriptor;

/**
 * Predicts the number of output tokens from the caller's estimate as far as it was right before.
 *
 * <p>Two predictions are combined: what the requests of the route and size class had, and the
 * estimate with the factor by which it was off. Each counts in inverse proportion to the variance
 * of its errors, in the logarithm, so that estimates without information end up with no say. Not
 * thread safe.
 */
final class OutputLearner {

  /** The most classes of requests that are told apart. */
  private static final int MAX_CLASSES = 1024;

  /** The weight of a new sample, which forgets within about fifty requests. */
  private static final double MIN_WEIGHT = 0.02;

  /** The number of samples from which experience counts as much as the estimate or the profile. */
  private static final double PRIOR_SAMPLES = 4;

  /** The variance of an estimate before experience; the median is right and a factor of 1.6 off. */
  private static final double PRIOR_VARIANCE = 0.25;

  private static final double MIN_VARIANCE = 0.01;

  /** The most by which one sample counts as off, so that a single request teaches little. */
  private static final double MAX_LOG_ERROR = Math.log(30);

  /** Tells classes of requests apart by the power of two of their size. */
  private record SizeClass(String route, int magnitude) {}

  /** Holds a prediction: the number of tokens, its relative spread and the number of samples. */
  record Prediction(double tokens, double spread, int samples) {}

  private final BoundedMoments<SizeClass> outputs = new BoundedMoments<>(MAX_CLASSES, MIN_WEIGHT);
  private final BoundedMoments<SizeClass> errors = new BoundedMoments<>(MAX_CLASSES, MIN_WEIGHT);
  private final BoundedMoments<String> routeErrors = new BoundedMoments<>(MAX_CLASSES, MIN_WEIGHT);

  /**
   * Predicts the output of a request.
   *
   * @param request the request, not null
   * @param usualTokens the mean output of all requests, positive
   */
  Prediction predict(RequestDescriptor request, double usualTokens) {
    RunningMoments output = outputs.get(getOutputClass(request));
    int samples = output == null ? 0 : output.getSamples();
    double mean = mix(Math.log(usualTokens), output);
    double variance = mixVariance(1, output);
    int estimate = request.estimatedOutputTokens().orElse(0);
    if (estimate > 0) {
      RunningMoments error = errors.get(getEstimateClass(request, estimate));
      // A class that is new learns from the other classes of its route.
      RunningMoments routeError = routeErrors.get(request.route());
      double errorVariance = mixVariance(mixVariance(PRIOR_VARIANCE, routeError), error);
      double corrected = Math.log(estimate) + mix(mix(0, routeError), error);
      double trust = variance / (variance + errorVariance);
      mean += trust * (corrected - mean);
      variance = variance * errorVariance / (variance + errorVariance);
      samples = Math.max(samples, error == null ? 0 : error.getSamples());
    }
    double tokens = Math.max(1, Math.exp(mean));
    int max = request.maxOutputTokens();
    return new Prediction(
        max > 0 ? Math.min(tokens, max) : tokens, Math.sqrt(Math.expm1(variance)), samples);
  }

  /** Records the output of a request whose stream came whole. */
  void onOutput(RequestDescriptor request, double tokens) {
    double log = Math.log(Math.max(1, tokens));
    outputs.add(getOutputClass(request), log);
    int estimate = request.estimatedOutputTokens().orElse(0);
    if (estimate > 0) {
      double error = log - Math.log(estimate);
      double bounded = Math.max(-MAX_LOG_ERROR, Math.min(MAX_LOG_ERROR, error));
      errors.add(getEstimateClass(request, estimate), bounded);
      routeErrors.add(request.route(), bounded);
    }
  }

  private static double mix(double prior, RunningMoments learned) {
    if (learned == null) {
      return prior;
    }
    int samples = learned.getSamples();
    return (PRIOR_SAMPLES * prior + samples * learned.getMean()) / (PRIOR_SAMPLES + samples);
  }

  private static double mixVariance(double prior, RunningMoments learned) {
    if (learned == null) {
      return prior;
    }
    int samples = learned.getSamples();
    double mixed =
        (PRIOR_SAMPLES * prior + samples * learned.getVariance()) / (PRIOR_SAMPLES + samples);
    return Math.max(MIN_VARIANCE, mixed);
  }

  private static SizeClass getOutputClass(RequestDescriptor request) {
    return new SizeClass(request.route(), getMagnitude(request.promptTokens()));
  }

  private static SizeClass getEstimateClass(RequestDescriptor request, int estimate) {
    return new SizeClass(request.route(), getMagnitude(estimate));
  }

  private static int getMagnitude(int size) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(size);
  }
}
