package io.fireflyshed.coordination.cost;

/**
 * Holds the mean and the variance of samples, of which the newest count most. Not thread safe.
 *
 * <p>The first samples count alike; later each new one has a fixed weight, so that old ones are
 * forgotten.
 */
final class RunningMoments {

  private final double minWeight;
  private int samples;
  private double mean;
  private double variance;

  /**
   * Creates moments without samples.
   *
   * @param minWeight the weight of a new sample after many others, 0 to 1
   */
  RunningMoments(double minWeight) {
    this.minWeight = minWeight;
  }

  void add(double sample) {
    samples = Math.min(samples + 1, Integer.MAX_VALUE - 1);
    double weight = Math.max(minWeight, 1.0 / samples);
    double difference = sample - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
  }

  int getSamples() {
    return samples;
  }

  double getMean() {
    return mean;
  }

  double getVariance() {
    return variance;
  }
}
