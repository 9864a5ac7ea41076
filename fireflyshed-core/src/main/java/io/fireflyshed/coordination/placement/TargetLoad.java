package io.fireflyshed.coordination.placement;

import java.time.Duration;

/**
 * Estimates the load of one target from the load in its last answer and this entry's own requests
 * since then. Not thread safe.
 */
final class TargetLoad {

  /** Weight of a new sample in the moving average of the interval between two events. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Weight of a new result in the moving average of the failure rate. */
  private static final double RESULT_WEIGHT = 0.2;

  /** Time in which the failure rate decays to 1/e without new results. */
  private static final double FAILURE_DECAY_NANOS = 3e9;

  /**
   * Most doublings of the wait after failed connections; the configured maximum is reached earlier.
   */
  private static final int MAX_DOUBLINGS = 10;

  private boolean isReported;
  private long reportedNanos;
  private int reportedRequests;
  private int startedSinceReport;
  private int endedSinceReport;
  private int inFlight;
  private int startedSinceTold;
  private FleetLoad.TargetRequests othersLoad = FleetLoad.TargetRequests.NONE;
  private int slots;
  private long suspectUntilNanos = Long.MIN_VALUE;
  private double meanEventIntervalMillis;
  private int connectFailures;
  private double failureRate;
  private long lastResultNanos;

  void onStart() {
    inFlight++;
    startedSinceReport++;
    startedSinceTold++;
  }

  void onEnd() {
    inFlight--;
    endedSinceReport++;
  }

  void onLoad(int requests, int slots, long nowNanos) {
    isReported = true;
    reportedNanos = nowNanos;
    reportedRequests = requests;
    this.slots = slots;
    connectFailures = 0;
    startedSinceReport = 0;
    endedSinceReport = 0;
  }

  /**
   * Records an event of a stream.
   *
   * @param intervalNanos the time since the stream's event before
   */
  void onProgress(long intervalNanos) {
    endSuspicion();
    double sample = intervalNanos / NANOS_PER_MILLI;
    meanEventIntervalMillis =
        meanEventIntervalMillis == 0
            ? sample
            : meanEventIntervalMillis + SAMPLE_WEIGHT * (sample - meanEventIntervalMillis);
  }

  /** Ends the suspicion, since the target responds. */
  void endSuspicion() {
    suspectUntilNanos = Long.MIN_VALUE;
  }

  void suspectUntil(long nanos) {
    suspectUntilNanos = nanos;
  }

  /** Extends the suspicion unless it already lasts longer. */
  void suspectAtLeastUntil(long nanos, long nowNanos) {
    if (!isSuspect(nowNanos) || suspectUntilNanos - nanos < 0) {
      suspectUntilNanos = nanos;
    }
  }

  /**
   * Records a failed connection. Starting with {@code first}, the wait until the next attempt
   * doubles with each failure, up to {@code longest}. Failures during the wait don't count.
   */
  void onUnreachable(long nowNanos, Duration first, Duration longest) {
    if (isSuspect(nowNanos)) {
      return;
    }
    long wait = first.toNanos() << Math.min(connectFailures, MAX_DOUBLINGS);
    connectFailures++;
    suspectUntil(nowNanos + Math.min(wait, longest.toNanos()));
  }

  /** Records whether an attempt that the target may have run succeeded. */
  void onResult(boolean isSuccess, long nowNanos) {
    double sample = isSuccess ? 0 : 1;
    double previousRate = getFailureRate(nowNanos);
    failureRate = previousRate + RESULT_WEIGHT * (sample - previousRate);
    lastResultNanos = nowNanos;
  }

  /** Returns the recent fraction of failed attempts, 0 to 1. */
  double getFailureRate(long nowNanos) {
    return failureRate == 0
        ? 0
        : failureRate * Math.exp(-(nowNanos - lastResultNanos) / FAILURE_DECAY_NANOS);
  }

  /** Resets the failures and the suspicion, as after a restart of the target. */
  void forgetFailures() {
    endSuspicion();
    connectFailures = 0;
    failureRate = 0;
  }

  /** Returns the time until requests are sent to a suspect target again, in nanoseconds. */
  long getSuspectNanos(long nowNanos) {
    return suspectUntilNanos - nowNanos;
  }

  boolean isSuspect(long nowNanos) {
    return suspectUntilNanos != Long.MIN_VALUE && nowNanos - suspectUntilNanos < 0;
  }

  int getInFlight() {
    return inFlight;
  }

  double getMeanEventIntervalMillis() {
    return meanEventIntervalMillis;
  }

  int getSlots(int listedSlots) {
    return slots > 0 ? slots : Math.max(1, listedSlots);
  }

  /**
   * Describes this target for its rating.
   *
   * @param requests the running and waiting requests
   * @param slots the most requests that the target runs at the same time
   * @param soundIntervalMillis the interval of events up to which the target isn't slow, 0 if not
   *     known
   * @param isOtherZone whether the target is in another zone
   * @param toldAgeNanos the age of what other entries told, {@code Long.MAX_VALUE} if it isn't used
   */
  TargetState getState(
      int requests,
      int slots,
      double soundIntervalMillis,
      boolean isOtherZone,
      long toldAgeNanos,
      long nowNanos) {
    long reportAgeNanos = isReported ? nowNanos - reportedNanos : Long.MAX_VALUE;
    double slowness = soundIntervalMillis > 0 ? meanEventIntervalMillis / soundIntervalMillis : 1;
    return new TargetState(
        requests,
        slots,
        othersLoad.inFlight(),
        othersLoad.workMillis(),
        othersLoad.startsPerSecond(),
        Math.min(toldAgeNanos, reportAgeNanos),
        Math.max(1, slowness),
        getFailureRate(nowNanos),
        isOtherZone);
  }

  /**
   * Returns this entry's own load on the target.
   *
   * @param seconds the time since the last call of this method
   * @param isSilent whether the streams of this entry had no event for a moment
   * @param isResponsive whether they had one
   */
  FleetLoad.TargetRequests takeOwnLoad(double seconds, boolean isSilent, boolean isResponsive) {
    int started = startedSinceTold;
    startedSinceTold = 0;
    return new FleetLoad.TargetRequests(
        inFlight, seconds > 0 ? started / seconds : 0, isSilent ? 1 : 0, isResponsive ? 1 : 0);
  }

  /** Records the load that other entries put on the target. */
  void setOthersLoad(FleetLoad.TargetRequests load) {
    othersLoad = load == null ? FleetLoad.TargetRequests.NONE : load;
  }

  /** Returns the rate at which other entries send requests to the target, as they told last. */
  double getOthersRate() {
    return othersLoad.startsPerSecond();
  }

  /**
   * Returns the estimated number of running and waiting requests by what the other entries told, or
   * by a later response of the target.
   *
   * @param toldNanos the time of what the other entries told
   */
  int getFleetRequests(long toldNanos) {
    return isReported && reportedNanos - toldNanos > 0
        ? getRequests()
        : othersLoad.inFlight() + inFlight;
  }

  /** Returns the estimated number of running and waiting requests. */
  int getRequests() {
    return Math.max(inFlight, reportedRequests + startedSinceReport - endedSinceReport);
  }
}
