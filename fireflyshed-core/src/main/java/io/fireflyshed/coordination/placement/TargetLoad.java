package io.fireflyshed.coordination.placement;

import java.time.Duration;

/**
 * Estimates the load of one target from what its answers told and from this entry's own requests
 * since. Not thread safe.
 */
final class TargetLoad {

  /** The weight of a new sample in the mean gap between two events. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private static final double NANOS_PER_MILLI = 1e6;

  /** The weight of a new result in the rate of failures. */
  private static final double RESULT_WEIGHT = 0.2;

  /** The time in which a rate of failures falls to 1/e without new results, in nanoseconds. */
  private static final double FAILURE_MEMORY_NANOS = 3e9;

  /** The doublings of the wait after failed connections stop here, well above any limit. */
  private static final int MAX_DOUBLINGS = 10;

  private int reported;
  private int startedSince;
  private int endedSince;
  private int inFlight;
  private int slots;
  private long suspectUntilNanos = Long.MIN_VALUE;
  private double gapMillis;
  private int connectFailures;
  private double failureRate;
  private long resultNanos;

  void onStart() {
    inFlight++;
    startedSince++;
  }

  void onEnd() {
    inFlight--;
    endedSince++;
  }

  void onReport(int requests, int slots) {
    reported = requests;
    this.slots = slots;
    connectFailures = 0;
    startedSince = 0;
    endedSince = 0;
  }

  /** Takes in an event of a stream that came some time after the event before it. */
  void onProgress(long gapNanos) {
    suspectUntilNanos = Long.MIN_VALUE;
    double sample = gapNanos / NANOS_PER_MILLI;
    gapMillis = gapMillis == 0 ? sample : gapMillis + SAMPLE_WEIGHT * (sample - gapMillis);
  }

  void suspectUntil(long nanos) {
    suspectUntilNanos = nanos;
  }

  /** Takes in that no connection came about; the wait doubles from the first to the longest. */
  void onUnreachable(long nowNanos, Duration first, Duration longest) {
    if (isSuspect(nowNanos)) {
      return;
    }
    long wait = first.toNanos() << Math.min(connectFailures, MAX_DOUBLINGS);
    connectFailures++;
    suspectUntil(nowNanos + Math.min(wait, longest.toNanos()));
  }

  /** Takes in whether an attempt that ran ended well. */
  void onResult(boolean isSuccess, long nowNanos) {
    double sample = isSuccess ? 0 : 1;
    double before = getFailureRate(nowNanos);
    failureRate = before + RESULT_WEIGHT * (sample - before);
    resultNanos = nowNanos;
  }

  /** Gets the recent share of attempts that ended badly, 0 to 1. */
  double getFailureRate(long nowNanos) {
    return failureRate == 0
        ? 0
        : failureRate * Math.exp(-(nowNanos - resultNanos) / FAILURE_MEMORY_NANOS);
  }

  /** Forgets the failures, as when the target begins a new life. */
  void forgetFailures() {
    suspectUntilNanos = Long.MIN_VALUE;
    connectFailures = 0;
    failureRate = 0;
  }

  /** Gets the time until a suspect is tried again, in nanoseconds. */
  long getSuspectNanos(long nowNanos) {
    return suspectUntilNanos - nowNanos;
  }

  boolean isSuspect(long nowNanos) {
    return suspectUntilNanos != Long.MIN_VALUE && nowNanos - suspectUntilNanos < 0;
  }

  int getInFlight() {
    return inFlight;
  }

  double getGapMillis() {
    return gapMillis;
  }

  int getSlots(int listed) {
    return slots > 0 ? slots : Math.max(1, listed);
  }

  /** Gets the estimated number of running and waiting requests. */
  int getRequests() {
    return Math.max(inFlight, reported + startedSince - endedSince);
  }
}
