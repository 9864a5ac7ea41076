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
   * @param reason the reason, for the log and the caller, not null
   * @param retryAfter the time after which capacity is expected, not null
   */
  record Refuse(String reason, Duration retryAfter) implements Placement {}
}
