package io.fireflyshed.coordination.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the load of one replica from late reports and from what this process sent itself. Not
 * thread safe.
 *
 * <p>A report is out of date by its age: requests ended since, and others came. The estimate moves
 * from the report towards the mean of all replicas as the report ages, and adds the own requests
 * that the report can't contain.
 */
final class ReplicaLoad {

  /** The weight of the newest report; a single one is old and varies by chance. */
  private static final double SMOOTHING = 0.4;

  private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

  private final Deque<Long> recentStarts = new ArrayDeque<>();
  private int inFlight;
  private double reported;
  private long measuredNanos;
  private boolean isReported;

  void onStart(long nowNanos) {
    inFlight++;
    recentStarts.addLast(nowNanos);
  }

  void onEnd(long startNanos) {
    inFlight--;
    recentStarts.removeFirstOccurrence(startNanos);
  }

  void onReport(int active, long measuredNanos) {
    if (isReported && measuredNanos - this.measuredNanos <= 0) {
      return;
    }
    reported += (isReported ? SMOOTHING : 1) * (active - reported);
    this.measuredNanos = measuredNanos;
    isReported = true;
    while (!recentStarts.isEmpty() && recentStarts.peekFirst() - measuredNanos <= 0) {
      recentStarts.removeFirst();
    }
  }

  int getInFlight() {
    return inFlight;
  }

  /** Gets the last report, or nothing if it is too old to count. */
  boolean hasReport(long nowNanos) {
    return isReported && nowNanos - measuredNanos < MAX_AGE_NANOS;
  }

  double getReported() {
    return reported;
  }

  /** Gets the estimate of the requests on the replica. */
  double getEstimate(double mean, long nowNanos) {
    if (!hasReport(nowNanos)) {
      return Math.max(mean, inFlight);
    }
    return Math.max(inFlight, reported + recentStarts.size());
  }
}
