package io.fireflyshed.coordination.repair;

/**
 * An announced period of high demand, during which downtime costs more. Immutable.
 *
 * @param startNanos the monotonic clock reading, in nanoseconds, at which the peak begins
 * @param endNanos the monotonic clock reading, in nanoseconds, at which the peak ends, after its
 *     start
 * @param factor the factor by which the weight of group downtime is multiplied, 1 or more and
 *     finite
 */
public record DemandPeak(long startNanos, long endNanos, double factor) {

  /** Validates the components. */
  public DemandPeak {
    if (endNanos - startNanos <= 0) {
      throw new IllegalArgumentException("endNanos must be after startNanos");
    }
    if (!(factor >= 1) || Double.isInfinite(factor)) {
      throw new IllegalArgumentException("factor must be 1 or more and finite: " + factor);
    }
  }

  /**
   * Tests whether the peak overlaps a time interval.
   *
   * @param fromNanos the monotonic clock reading, in nanoseconds, at which the interval begins
   * @param toNanos the monotonic clock reading, in nanoseconds, at which the interval ends
   * @return true if the peak and the interval overlap
   */
  public boolean isOverlapping(long fromNanos, long toNanos) {
    return endNanos - fromNanos > 0 && startNanos - toNanos <= 0;
  }
}
