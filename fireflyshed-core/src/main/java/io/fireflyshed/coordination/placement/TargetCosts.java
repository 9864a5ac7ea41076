package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Set;

/** Rates targets for requests. Thread safe. */
public interface TargetCosts {

  /** Rates targets for one request. */
  @FunctionalInterface
  interface Rater {

    /**
     * Rates a target.
     *
     * @param target the target, not null
     * @param state what is known of the target, not null
     * @return the rating, never null
     */
    TargetRating rate(Target target, TargetState state);
  }

  /**
   * Gets the age from which the load that other entries told is no longer used.
   *
   * @return the age, never null
   */
  Duration getMaxFleetLoadAge();

  /**
   * Counts the starts of other entries that what they told doesn't contain yet.
   *
   * @param request the request that is placed, not null
   * @param startsPerSecond the rate of their starts at all targets of the request
   * @param ageNanos the time since they told it
   * @return the expected number of requests
   */
  double countUnseenStarts(RequestDescriptor request, double startsPerSecond, long ageNanos);

  /**
   * Prepares the rating of the targets of a request.
   *
   * @param request the request, not null
   * @param nowNanos the current time of the monotonic clock
   * @return what rates the targets, for use during this placement only, never null
   */
  Rater newRater(RequestDescriptor request, long nowNanos);

  /**
   * Creates what follows an attempt of a request at a target.
   *
   * @param request the request, not null
   * @param target the target, not null
   * @param eventsBefore the number of events that the target won't send, as a stream goes on after
   *     them; 0 for a new stream and for other requests
   * @return the run, not started yet, never null
   */
  RequestRun newRun(RequestDescriptor request, InstanceId target, long eventsBefore);

  /**
   * Estimates how long a request keeps a target busy.
   *
   * @param request the request, not null
   * @return the time in milliseconds, 0 if nothing is expected
   */
  double getExpectedWorkMillis(RequestDescriptor request);

  /**
   * Gets how long this entry's own requests will still keep a target busy.
   *
   * @param target the target, not null
   * @return the time in milliseconds, empty if it isn't tracked, never null
   */
  OptionalDouble getOwnWorkMillis(InstanceId target);

  /**
   * Gets the time to the first event that was expected when the target was last rated.
   *
   * @param target the target, not null
   * @return the time in milliseconds, empty if nothing is expected, never null
   */
  OptionalDouble getExpectedMillis(InstanceId target);

  /**
   * Forgets targets that no longer exist and have no requests of this entry.
   *
   * @param listed the targets that still exist, not null
   */
  void retain(Set<InstanceId> listed);

  /**
   * Forgets what was learned of a target, which restarted.
   *
   * @param target the target, not null
   */
  void reset(InstanceId target);
}
