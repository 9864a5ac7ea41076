package io.fireflyshed.coordination.cost;

/** Holds the mean cost of the requests of a pool. Not thread safe. */
final class PoolMeans {

  private static final double MIN_WEIGHT = 0.01;

  /** The most by which one request counts as larger than the mean, whatever callers state. */
  private static final double MAX_FACTOR = 10;

  private final RunningMoments prefillMillis = new RunningMoments(MIN_WEIGHT);
  private final RunningMoments workMillis = new RunningMoments(MIN_WEIGHT);
  private final RunningMoments memoryTokens = new RunningMoments(MIN_WEIGHT);

  private final RunningMoments runMillis = new RunningMoments(MIN_WEIGHT);
  private final RunningMoments othersStartsPerSecond = new RunningMoments(MIN_WEIGHT);

  /** Records the time from the start of a request to its end. */
  void addRun(double millis) {
    runMillis.add(millis);
  }

  /** Records the rate at which other entries start requests at one target. */
  void addOthersRate(double startsPerSecond) {
    othersStartsPerSecond.add(startsPerSecond);
  }

  /** Returns the rate at which other entries start requests at a target, as a mean. */
  double getOthersStartsPerSecond() {
    return othersStartsPerSecond.getMean();
  }

  /** Returns the mean time from the start of a request to its end, 0 if none ended yet. */
  double getRunMillis() {
    return runMillis.getMean();
  }

  /** Returns the part of the requests of some time ago that still run. */
  double getRest(double ageMillis) {
    return getRunMillis() > 0 ? Math.exp(-ageMillis / getRunMillis()) : 1;
  }

  /**
   * Returns how many of the requests that others started since some time ago still run.
   *
   * @param startsPerSecond the rate of their starts
   */
  double countStarted(double startsPerSecond, double ageMillis) {
    double millis = getRunMillis() > 0 ? getRunMillis() * (1 - getRest(ageMillis)) : ageMillis;
    return startsPerSecond * millis / 1000;
  }

  void add(WorkEstimate estimate) {
    addBounded(prefillMillis, estimate.prefillMillis());
    addBounded(workMillis, estimate.getWorkMillis());
    addBounded(memoryTokens, estimate.memoryTokens());
  }

  private static void addBounded(RunningMoments moments, double sample) {
    double mean = moments.getMean();
    moments.add(mean > 0 ? Math.min(sample, mean * MAX_FACTOR) : sample);
  }

  double getPrefillMillis() {
    return prefillMillis.getMean();
  }

  double getWorkMillis() {
    return workMillis.getMean();
  }

  double getMemoryTokens() {
    return memoryTokens.getMean();
  }
}
