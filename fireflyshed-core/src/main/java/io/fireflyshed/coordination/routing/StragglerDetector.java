package io.fireflyshed.coordination.routing;

import java.time.Duration;

/**
 * Measures the time between tokens on one replica and detects whether the replica is a straggler.
 * Not thread safe.
 *
 * <p>Hysteresis prevents a replica from being ejected and readmitted in quick succession: it is
 * ejected at a higher ratio to the median than the one at which it is readmitted. While it is
 * ejected, it gets single probe requests at increasing intervals, which show whether it has
 * recovered.
 */
final class StragglerDetector {

  private static final int MIN_SAMPLES = 24;
  private static final int MAX_SAMPLES = 64;
  private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long MAX_PROBE_INTERVAL_NANOS = Duration.ofSeconds(60).toNanos();
  private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(10).toNanos();

  private double meanInterTokenNanos;
  private int samples;
  private boolean isEjected;
  private long probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
  private long nextProbeNanos;
  private long lastTokenNanos;
  private boolean isAwaitingTokens;

  void recordStart(int inFlightBefore, long nowNanos) {
    if (inFlightBefore == 0) {
      lastTokenNanos = nowNanos;
      isAwaitingTokens = true;
    }
    if (isEjected) {
      nextProbeNanos = nowNanos + probeIntervalNanos;
      probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * probeIntervalNanos);
    }
  }

  void recordIdle() {
    isAwaitingTokens = false;
  }

  /** Adds a time between two consecutive tokens to the moving average. */
  void recordInterTokenTime(long interTokenNanos) {
    samples = Math.min(MAX_SAMPLES, samples + 1);
    meanInterTokenNanos += (interTokenNanos - meanInterTokenNanos) / samples;
  }

  void recordToken(long nowNanos) {
    lastTokenNanos = nowNanos;
  }

  boolean hasEnoughSamples() {
    return samples >= MIN_SAMPLES;
  }

  double getInterTokenNanos() {
    return meanInterTokenNanos;
  }

  boolean isEjected() {
    return isEjected;
  }

  /** Tests whether an ejected replica should get a request that shows its speed. */
  boolean isProbeDue(int inFlight, long nowNanos) {
    return inFlight == 0 && nextProbeNanos - nowNanos <= 0;
  }

  /**
   * Tests whether the replica should be ejected: it has returned no token for too long, or its mean
   * time between tokens exceeds the median times the eject ratio.
   */
  boolean isStraggler(double medianInterTokenNanos, RouterSettings settings, long nowNanos) {
    boolean isSilent = isAwaitingTokens && nowNanos - lastTokenNanos > MAX_SILENCE_NANOS;
    return isSilent
        || hasEnoughSamples()
            && meanInterTokenNanos > settings.ejectRatio() * medianInterTokenNanos;
  }

  boolean isRecovered(double medianInterTokenNanos, RouterSettings settings) {
    return hasEnoughSamples()
        && meanInterTokenNanos < settings.readmitRatio() * medianInterTokenNanos;
  }

  void eject(long nowNanos) {
    isEjected = true;
    probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
    nextProbeNanos = nowNanos + probeIntervalNanos;
    samples = 0;
  }

  void readmit() {
    isEjected = false;
  }
}
