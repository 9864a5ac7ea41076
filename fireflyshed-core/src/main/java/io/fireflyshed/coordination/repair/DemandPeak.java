package io.fireflyshed.coordination.repair;

/**
 * Announces a time of high demand, during which downtime costs more. Immutable.
 *
 * @param startNanos the reading of the monotonic clock at which the peak begins
 * @param endNanos the reading at which it ends, after its start
 * @param factor by how much the weight of group downtime grows, 1 or more and finite
 */
public record DemandPeak(long startNanos, long endNanos, double factor) {

  /** Checks the parts of the record. */
  public DemandPeak {
    if (endNanos - startNanos <= 0) {
      throw new IllegalArgumentException("endNanos must be after startNanos");
    }
    if (!(factor >= 1) || Double.isInfinite(factor)) {
      throw new IllegalArgumentException("factor must be 1 or more and finite: " + factor);
    }
  }

  /**
   * Tests whether the peak overlaps a span of time.
   *
   * @param fromNanos the reading at which the span begins
   * @param toNanos the reading at which the span ends
   * @return true if they share an instant
   */
  public boolean isWithin(long fromNanos, long toNanos) {
    return endNanos - fromNanos > 0 && startNanos - toNanos <= 0;
  }
}
