package io.fireflyshed.coordination.repair;

import java.util.Arrays;

/**
 * Learns how long instances stay away and derives how long to wait for one. Not thread safe.
 *
 * <p>Waiting for a lost member is a ski-rental problem: each second of waiting costs rent,
 * replacing the member costs a fixed price. The break-even rule waits until the rent equals the
 * price and is never worse than twice the best choice (Karlin, Manasse, Rudolph and Sleator,
 * "Competitive snoopy caching", 1988). With a known distribution of the lengths, the threshold of
 * least expected cost is better (Karlin, Manasse, McGeoch and Owicki, "Competitive randomized
 * algorithms for nonuniform problems", 1994). This class keeps the distribution as a histogram
 * whose counts decay, and never waits longer than the break-even rule.
 */
public final class OutageHistory {

  private static final double BUCKETS_PER_DOUBLING = 4;
  private static final int BUCKETS = 64;
  private static final double FIRST_SECONDS = 0.5;
  private static final double DECAY = 0.998;
  private static final double PRIOR_COUNT = 1;
  private static final double PRIOR_PAUSE_SECONDS = 10;

  private final double[] counts = new double[BUCKETS];
  private double endless;

  /** Creates a history with a weak prior of as many short pauses as real losses. */
  public OutageHistory() {
    counts[getBucket(PRIOR_PAUSE_SECONDS)] = PRIOR_COUNT;
    endless = PRIOR_COUNT;
  }

  /**
   * Records an outage that ended by itself with nothing lost.
   *
   * @param seconds how long it was, in seconds, not negative
   */
  public void addPause(double seconds) {
    decay();
    counts[getBucket(seconds)]++;
  }

  /** Records an outage for which waiting did not pay, because the instance came back blank. */
  public void addLoss() {
    decay();
    endless++;
  }

  /**
   * Gets the time to wait for an instance before it is replaced.
   *
   * @param priceSeconds the price of replacing it, in seconds of rent, not negative
   * @return the time since the loss, in seconds, 0 to {@code priceSeconds}
   */
  public double getPatienceSeconds(double priceSeconds) {
    double total = endless + Arrays.stream(counts).sum();
    double best = 0;
    double bestCost = priceSeconds;
    double endedCost = 0;
    double ended = 0;
    for (int i = 0; i < BUCKETS && getUpperSeconds(i) <= priceSeconds; i++) {
      double upper = getUpperSeconds(i);
      endedCost += counts[i] * upper;
      ended += counts[i];
      double cost = (endedCost + (total - ended) * (upper + priceSeconds)) / total;
      if (cost < bestCost) {
        bestCost = cost;
        best = upper;
      }
    }
    return best;
  }

  private void decay() {
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] *= DECAY;
    }
    endless *= DECAY;
  }

  private static int getBucket(double seconds) {
    if (seconds <= FIRST_SECONDS) {
      return 0;
    }
    double doublings = Math.log(seconds / FIRST_SECONDS) / Math.log(2);
    return (int) Math.min(BUCKETS - 1, Math.ceil(doublings * BUCKETS_PER_DOUBLING));
  }

  private static double getUpperSeconds(int bucket) {
    return FIRST_SECONDS * Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
  }
}
