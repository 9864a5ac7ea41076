package io.fireflyshed.coordination.placement;

/**
 * Estimates the load of one target from what its answers told and from this entry's own requests
 * since. Not thread safe.
 */
final class TargetLoad {

  /** The weight of a new sample in the mean gap between two events. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private static final double NANOS_PER_MILLI = 1e6;

  private int reported;
  private int startedSince;
  private int endedSince;
  private int inFlight;
  private int slots;
  private long suspectUntilNanos = Long.MIN_VALUE;
  private double gapMillis;

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
