package io.fireflyshed.coordination.repair;

import java.util.Arrays;

/**
 * Records the durations of instance outages and derives how long to wait for a lost instance. Not
 * thread safe.
 *
 * <p>Waiting for a lost member is a ski-rental problem: each second of waiting has a cost, and
 * replacing the member has a fixed cost. The break-even rule waits until the cost of waiting equals
 * the cost of replacement, and never costs more than twice the optimum (Karlin, Manasse, Rudolph
 * and Sleator, "Competitive snoopy caching", 1988). If the distribution of outage durations is
 * known, the threshold with the least expected cost is better (Karlin, Manasse, McGeoch and Owicki,
 * "Competitive randomized algorithms for nonuniform problems", 1994). This class estimates the
 * distribution with a histogram whose counts decay. The resulting wait is never longer than that of
 * the break-even rule.
 */
public final class OutageHistory {

  private static final double BUCKETS_PER_DOUBLING = 4;
  private static final int BUCKETS = 64;
  private static final double FIRST_BUCKET_SECONDS = 0.5;
  private static final double DECAY_FACTOR = 0.998;
  private static final double PRIOR_COUNT = 1;
  private static final double PRIOR_OUTAGE_SECONDS = 10;

  private final double[] transientCounts = new double[BUCKETS];
  private double permanentCount;

  /** Creates a history with a weak prior: as many short transient outages as permanent ones. */
  public OutageHistory() {
    transientCounts[getBucket(PRIOR_OUTAGE_SECONDS)] = PRIOR_COUNT;
    permanentCount = PRIOR_COUNT;
  }

  /**
   * Records an outage after which the instance returned with its weights.
   *
   * @param seconds the duration of the outage, in seconds, not negative
   */
  public void recordTransientOutage(double seconds) {
    decay();
    transientCounts[getBucket(seconds)]++;
  }

  /**
   * Records an outage for which waiting was useless, because the instance returned without its
   * weights.
   */
  public void recordPermanentOutage() {
    decay();
    permanentCount++;
  }

  /**
   * Returns how long to wait for a lost instance before replacing it.
   *
   * @param replacementCostSeconds the cost of replacing the instance, in seconds of waiting, not
   *     negative
   * @return the wait since the loss, in seconds, from 0 to {@code replacementCostSeconds}
   */
  public double getWaitLimitSeconds(double replacementCostSeconds) {
    double total = permanentCount + Arrays.stream(transientCounts).sum();
    double bestLimit = 0;
    double bestCost = replacementCostSeconds;
    double endedSeconds = 0;
    double endedCount = 0;
    for (int i = 0; i < BUCKETS && getUpperSeconds(i) <= replacementCostSeconds; i++) {
      double limit = getUpperSeconds(i);
      endedSeconds += transientCounts[i] * limit;
      endedCount += transientCounts[i];
      double cost =
          (endedSeconds + (total - endedCount) * (limit + replacementCostSeconds)) / total;
      if (cost < bestCost) {
        bestCost = cost;
        bestLimit = limit;
      }
    }
    return bestLimit;
  }

  private void decay() {
    for (int i = 0; i < BUCKETS; i++) {
      transientCounts[i] *= DECAY_FACTOR;
    }
    permanentCount *= DECAY_FACTOR;
  }

  private static int getBucket(double seconds) {
    if (seconds <= FIRST_BUCKET_SECONDS) {
      return 0;
    }
    double doublings = Math.log(seconds / FIRST_BUCKET_SECONDS) / Math.log(2);
    return (int) Math.min(BUCKETS - 1, Math.ceil(doublings * BUCKETS_PER_DOUBLING));
  }

  private static double getUpperSeconds(int bucket) {
    return FIRST_BUCKET_SECONDS * Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
  }
}
