package io.fireflyshed.coordination.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the load of one replica from delayed reports and from the requests that this process
 * sent. Not thread safe.
 *
 * <p>A report is outdated by its age: requests have ended and others have started since. The
 * estimate is a moving average of the reports plus the requests that this process started after the
 * newest report was measured. If there is no recent report, the mean of all replicas is used. The
 * estimate is never below the number of requests that this process has in flight.
 */
final class ReplicaLoad {

  /** The weight of the newest report in the average; a single report is outdated and noisy. */
  private static final double SMOOTHING = 0.4;

  private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(30).toNanos();

  private final Deque<Long> recentStarts = new ArrayDeque<>();
  private int inFlight;
  private double reportedLoad;
  private long measuredNanos;
  private boolean isReported;

  void recordStart(long nowNanos) {
    inFlight++;
    recentStarts.addLast(nowNanos);
  }

  void recordEnd(long startNanos) {
    inFlight--;
    recentStarts.removeFirstOccurrence(startNanos);
  }

  void recordReport(int activeRequests, long measuredNanos) {
    if (isReported && measuredNanos - this.measuredNanos <= 0) {
      return;
    }
    reportedLoad += (isReported ? SMOOTHING : 1) * (activeRequests - reportedLoad);
    this.measuredNanos = measuredNanos;
    isReported = true;
    while (!recentStarts.isEmpty() && recentStarts.peekFirst() - measuredNanos <= 0) {
      recentStarts.removeFirst();
    }
  }

  int getInFlight() {
    return inFlight;
  }

  /** Tests whether there is a report and it is recent enough to be used. */
  boolean hasRecentReport(long nowNanos) {
    return isReported && nowNanos - measuredNanos < MAX_REPORT_AGE_NANOS;
  }

  /** Gets the moving average of the reported numbers of requests. */
  double getReportedLoad() {
    return reportedLoad;
  }

  /** Estimates the number of requests that are running or queued on the replica. */
  double estimateLoad(double meanLoad, long nowNanos) {
    if (!hasRecentReport(nowNanos)) {
      return Math.max(meanLoad, inFlight);
    }
    return Math.max(inFlight, reportedLoad + recentStarts.size());
  }
}
