package io.fireflyshed.coordination.routing;

import java.time.Duration;

/**
 * Watches the time between tokens on one replica and decides whether it is a straggler. Not thread
 * safe.
 *
 * <p>Hysteresis keeps a replica from going in and out: it leaves at a higher ratio to the median
 * than the one at which it returns, and while it is out it gets single requests at growing
 * intervals, which show whether it has recovered.
 */
final class ReplicaSpeed {

  private static final int MIN_SAMPLES = 24;
  private static final int MAX_SAMPLES = 64;
  private static final long FIRST_PROBE_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long MAX_PROBE_NANOS = Duration.ofSeconds(60).toNanos();
  private static final long SILENCE_NANOS = Duration.ofSeconds(10).toNanos();

  private double gapNanos;
  private int samples;
  private boolean isEjected;
  private long probeNanos = FIRST_PROBE_NANOS;
  private long nextProbeNanos;
  private long lastTokenNanos;
  private boolean isWaiting;

  void onStart(int inFlightBefore, long nowNanos) {
    if (inFlightBefore == 0) {
      lastTokenNanos = nowNanos;
      isWaiting = true;
    }
    if (isEjected) {
      nextProbeNanos = nowNanos + probeNanos;
      probeNanos = Math.min(MAX_PROBE_NANOS, 2 * probeNanos);
    }
  }

  void onIdle() {
    isWaiting = false;
  }

  /** Takes in a token that came some time after the one before it. */
  void onGap(long nanos) {
    samples = Math.min(MAX_SAMPLES, samples + 1);
    gapNanos += (nanos - gapNanos) / samples;
  }

  void onToken(long nowNanos) {
    lastTokenNanos = nowNanos;
  }

  boolean isMeasured() {
    return samples >= MIN_SAMPLES;
  }

  double getGapNanos() {
    return gapNanos;
  }

  boolean isEjected() {
    return isEjected;
  }

  /** Tests whether an ejected replica may get a request that shows its speed. */
  boolean isProbeDue(int inFlight, long nowNanos) {
    return inFlight == 0 && nextProbeNanos - nowNanos <= 0;
  }

  /** Tests whether the replica is worse than the ratio of ejection allows. */
  boolean isSlow(double medianNanos, RouterSettings settings, long nowNanos) {
    boolean isSilent = isWaiting && nowNanos - lastTokenNanos > SILENCE_NANOS;
    return isSilent || isMeasured() && gapNanos > settings.ejectRatio() * medianNanos;
  }

  boolean isRecovered(double medianNanos, RouterSettings settings) {
    return isMeasured() && gapNanos < settings.returnRatio() * medianNanos;
  }

  void eject(long nowNanos) {
    isEjected = true;
    probeNanos = FIRST_PROBE_NANOS;
    nextProbeNanos = nowNanos + probeNanos;
    samples = 0;
  }

  void readmit() {
    isEjected = false;
  }
}
