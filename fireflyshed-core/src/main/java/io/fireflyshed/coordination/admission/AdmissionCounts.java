package io.fireflyshed.coordination.admission;

import java.time.Duration;

/** Counts the requests of the last seconds, older ones with less weight. Not thread safe. */
final class AdmissionCounts {

  /** The age at which a request has the weight 1/e. */
  private static final Duration MEMORY = Duration.ofSeconds(4);

  private double arrived;
  private double admitted;
  private long nanos;

  void onArrival(long nowNanos) {
    decay(nowNanos);
    arrived++;
  }

  void onAdmission() {
    admitted++;
  }

  /** Reduces the weights of the requests to those at a time. */
  void decay(long nowNanos) {
    double age = arrived == 0 ? 0 : nowNanos - nanos;
    double factor = Math.exp(-age / MEMORY.toNanos());
    arrived *= factor;
    admitted *= factor;
    nanos = nowNanos;
  }

  double getArrived() {
    return arrived;
  }

  double getAdmitted() {
    return admitted;
  }

  /** Returns the admitted part of the requests, 1 without any. */
  double getPart() {
    return arrived > 0 ? Math.min(1, admitted / arrived) : 1;
  }

  /** Returns the mean time between two admitted requests, the memory of the counts at most. */
  long getMeanGapNanos() {
    return (long) (MEMORY.toNanos() / Math.max(1, admitted));
  }
}
