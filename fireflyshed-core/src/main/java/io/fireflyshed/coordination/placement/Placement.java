package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.target.Target;
import java.time.Duration;

/** Says what is to be done with a request. */
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
   * @param reason why, for the log, not null
   * @param retryAfter the time after which room is expected, not null
   */
  record Refuse(String reason, Duration retryAfter) implements Placement {}
}
