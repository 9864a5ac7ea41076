package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.target.Target;
import java.time.Duration;

/** The decision on a request: to send it to a target or to refuse it. */
public sealed interface Placement {

  /**
   * Sends the request to a target.
   *
   * @param target the target, not null
   */
  record Send(Target target) implements Placement {}

  /**
   * Refuses the request at once.
   *
   * @param cause the kind of the reason, not null
   * @param reason the reason, for the log and the caller, not null
   * @param retryAfter the time after which capacity is expected, not null
   */
  record Refuse(Cause cause, String reason, Duration retryAfter) implements Placement {}

  /** Lists why a request is refused. */
  enum Cause {
    /** The request must not be sent to any target, or the targets aren't known yet. */
    NOT_PERMITTED,
    /** There is no target that has not been tried. */
    NO_CANDIDATE,
    /**
     * There are targets, but those that could take the request stalled or couldn't be reached from
     * this entry. Another entry may reach them.
     */
    UNREACHABLE,
    /** The targets that can be reached are full. */
    AT_CAPACITY,
    /** The targets that aren't full have reached their request limits. */
    AT_REQUEST_LIMIT
  }
}
