package io.fireflyshed.bench.relay;

import org.HdrHistogram.Histogram;

/**
 * Holds what a load run measured.
 *
 * @param requests the number of complete answers
 * @param failures the number of other answers
 * @param seconds the length of the run
 * @param latency the latency of the whole answers in microseconds
 * @param cpuSeconds the processor time of the whole process in the run
 */
record LoadResult(
    long requests, long failures, double seconds, Histogram latency, double cpuSeconds) {

  double getRequestsPerSecond() {
    return requests / seconds;
  }
}
