package io.fireflyshed.coordination.shutdown;

import io.fireflyshed.state.traffic.Route;
import java.time.Duration;
import java.util.Objects;

/**
 * Decides whether a request that arrives during a shutdown can be answered before the process ends.
 * Immutable, except for the durations that it reads.
 *
 * <p>A request is taken if its own timeout passes in time: its caller then gets a response in any
 * case. While the load balancer still sends new connections, a request that may be retried is also
 * taken if it can be expected to end in time, since its caller has no way to know of the shutdown.
 */
public final class ShutdownAdmission {

  /** Requests may take longer than recent ones, for example while other entries restart, too. */
  private static final double EXPECTED_DURATION_FACTOR = 1.5;

  private final RequestDurations durations;
  private final long startNanos;
  private final Duration drainDelay;
  private final Duration drainTime;

  /**
   * Creates the admission of a shutdown.
   *
   * @param durations the durations of recent requests, not null
   * @param startNanos the start of the shutdown as a reading of the monotonic clock
   * @param drainDelay the time from the start for which the load balancer sends new connections,
   *     not null
   * @param drainTime the time from the start after which requests in flight are ended, at least
   *     {@code drainDelay}, not null
   */
  public ShutdownAdmission(
      RequestDurations durations, long startNanos, Duration drainDelay, Duration drainTime) {
    this.durations = Objects.requireNonNull(durations, "durations");
    this.startNanos = startNanos;
    this.drainDelay = Objects.requireNonNull(drainDelay, "drainDelay");
    this.drainTime = Objects.requireNonNull(drainTime, "drainTime");
    if (drainTime.compareTo(drainDelay) < 0) {
      throw new IllegalArgumentException(
          "drainTime of " + drainTime + " is shorter than drainDelay of " + drainDelay);
    }
  }

  /**
   * Tests whether a request can be answered before the end of the shutdown.
   *
   * @param route its route, not null
   * @param remaining the time until its own timeout, not null
   * @param nowNanos the current time of the monotonic clock
   * @return true if the request may be taken
   */
  public boolean canFinish(Route route, Duration remaining, long nowNanos) {
    Duration elapsed = Duration.ofNanos(nowNanos - startNanos);
    Duration left = drainTime.minus(elapsed);
    if (remaining.compareTo(left) <= 0) {
      return true;
    }
    return route.isRetryable()
        && elapsed.compareTo(drainDelay) < 0
        && durations
            .getLongest(route.name(), nowNanos)
            .filter(longest -> longest.toNanos() * EXPECTED_DURATION_FACTOR <= left.toNanos())
            .isPresent();
  }
}
