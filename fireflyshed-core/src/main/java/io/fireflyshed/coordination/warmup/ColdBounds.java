package io.fireflyshed.coordination.warmup;

import io.fireflyshed.coordination.placement.TurnRate;
import io.fireflyshed.state.traffic.ColdStartProfile;
import java.time.Duration;

/**
 * Bounds the requests that a cold target may get in any second from all entries together.
 *
 * @param overshoot the multiple of the rate that the target takes, not negative
 * @param slack the requests in addition, not negative
 */
public record ColdBounds(double overshoot, double slack) {

  /** The time for which an unused turn can still be used. */
  private static final Duration TURN_LIFETIME = Duration.ofMillis(600);

  /** The difference between the clocks of two entries, and the time until a request is sent. */
  private static final Duration MAX_SKEW = Duration.ofMillis(200);

  private static final double WINDOW_SECONDS =
      1 + (TURN_LIFETIME.toMillis() + MAX_SKEW.toMillis()) / 1e3;

  /**
   * The part of the bound that is used while all entries agree on their turns. An availability zone
   * whose entries are all replaced while they still run takes its third of the turns twice.
   */
  private static final double USED_FRACTION = 0.6;

  /**
   * Gets the most requests of any second.
   *
   * @param profile what the target bears, not null
   * @return the number of requests
   */
  public long getMaxRequests(ColdStartProfile profile) {
    return (long) Math.floor(profile.requestsPerSecond() * overshoot + slack);
  }

  /**
   * Gets the rate at which all entries use a cold target in turns.
   *
   * @param profile what the target bears, not null
   * @return the rate, which is never above that of the profile, never null
   */
  TurnRate getRate(ColdStartProfile profile) {
    double bounded = USED_FRACTION * getMaxRequests(profile) / WINDOW_SECONDS;
    return new TurnRate(Math.min(profile.requestsPerSecond(), bounded), TURN_LIFETIME);
  }
}
