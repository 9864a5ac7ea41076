package io.fireflyshed.coordination.shutdown;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Remembers how long the slowest recent requests of each route took. Thread safe. */
public final class RequestDurations {

  /** The length of a period. A duration counts in its own period and in the next one. */
  private static final Duration PERIOD = Duration.ofSeconds(30);

  /** The longest durations of the current period and of the one before. */
  private static final class Longest {
    private long periodStartNanos;
    private long currentNanos;
    private long previousNanos;

    Longest(long nowNanos) {
      periodStartNanos = nowNanos;
    }

    void advance(long nowNanos) {
      long elapsed = nowNanos - periodStartNanos;
      if (elapsed >= PERIOD.toNanos()) {
        previousNanos = elapsed < 2 * PERIOD.toNanos() ? currentNanos : 0;
        currentNanos = 0;
        periodStartNanos = nowNanos;
      }
    }
  }

  private final Map<String, Longest> longestByRoute = new HashMap<>();

  /**
   * Records a request that succeeded, or that failed after this time.
   *
   * @param route the name of the route, not null
   * @param duration the time from its arrival to its end, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void record(String route, Duration duration, long nowNanos) {
    Objects.requireNonNull(route, "route");
    Longest longest = longestByRoute.computeIfAbsent(route, r -> new Longest(nowNanos));
    longest.advance(nowNanos);
    longest.currentNanos = Math.max(longest.currentNanos, duration.toNanos());
  }

  /**
   * Gets the duration of the slowest recent request of a route.
   *
   * @param route the name of the route, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the duration, empty if no request of the route ended recently, never null
   */
  public synchronized Optional<Duration> getLongest(String route, long nowNanos) {
    Longest longest = longestByRoute.get(Objects.requireNonNull(route, "route"));
    if (longest == null) {
      return Optional.empty();
    }
    longest.advance(nowNanos);
    long nanos = Math.max(longest.currentNanos, longest.previousNanos);
    return nanos == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(nanos));
  }
}
