package io.fireflyshed.coordination.cost;

/** Measures how far predictions of the time to the first event are off. Thread safe. */
public final class PredictionStatistics {

  private static final double MIN_WEIGHT = 0.005;

  /** Keeps times of a few microseconds from counting as far off. */
  private static final double MIN_MILLIS = 1;

  private final RunningMoments errors = new RunningMoments(MIN_WEIGHT);

  /**
   * Records a prediction and what came of it.
   *
   * @param expectedMillis the predicted time
   * @param actualMillis the measured time
   */
  synchronized void add(double expectedMillis, double actualMillis) {
    double expected = Math.max(MIN_MILLIS, expectedMillis);
    errors.add(Math.abs(Math.log(Math.max(MIN_MILLIS, actualMillis) / expected)));
  }

  /**
   * Gets the number of predictions that were compared.
   *
   * @return the number
   */
  public synchronized long getSamples() {
    return errors.getSamples();
  }

  /**
   * Gets the factor by which predictions were usually off lately.
   *
   * @return the factor, 1 if all were right or none was compared
   */
  public synchronized double getErrorFactor() {
    return Math.exp(errors.getMean());
  }
}
