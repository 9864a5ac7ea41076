package io.fireflyshed.transport.forward;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import java.util.Objects;
import java.util.Optional;

/**
 * Tells where a response comes from, for logs.
 *
 * @param target the target, empty if another entry received the response, not null
 * @param entry the entry that passed the response on, empty if this entry received it, not null
 * @param earlierRequests the number of requests that preceded this one on the connection to the
 *     target, 0 on a new connection, -1 if it is not known
 */
public record ResponseOrigin(
    Optional<InstanceId> target, Optional<PeerId> entry, int earlierRequests) {

  private static final ResponseOrigin UNKNOWN =
      new ResponseOrigin(Optional.empty(), Optional.empty(), -1);

  /** Validates the components. */
  public ResponseOrigin {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(entry, "entry");
  }

  /** Returns the origin of a response of which nothing is known, never null. */
  static ResponseOrigin unknown() {
    return UNKNOWN;
  }

  /**
   * Returns the origin of a response that a target sent to this entry.
   *
   * @param target the target, not null
   * @param earlierRequests the number of requests that preceded this one on the connection
   * @return the origin, never null
   */
  static ResponseOrigin ofTarget(InstanceId target, int earlierRequests) {
    return new ResponseOrigin(Optional.of(target), Optional.empty(), earlierRequests);
  }

  /**
   * Returns the origin of a response that another entry passes on.
   *
   * @param entry the entry, not null
   * @return the origin, never null
   */
  public static ResponseOrigin ofEntry(PeerId entry) {
    return new ResponseOrigin(Optional.empty(), Optional.of(entry), -1);
  }
}
