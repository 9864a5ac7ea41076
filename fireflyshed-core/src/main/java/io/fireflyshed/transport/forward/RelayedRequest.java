package io.fireflyshed.transport.forward;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Holds a request that one entry authorized and another entry forwards to targets.
 *
 * @param routed the request, not null
 * @param remaining the time until the deadline of the request, not null
 * @param lastEventId the id of the event after which a stream resumes, empty for a new stream, not
 *     null
 * @param maxAttempts the number of targets that may still run the request, at least 1
 * @param excludedTargets the targets that were tried before, copied, not null
 * @param listener learns at which targets the request is tried, not null
 * @param retryPermit charges the retry budget for another attempt and returns whether it may start;
 *     asked each time an entry that accepted the request didn't run it, since targets may have
 *     rejected its attempts; not null, called on any thread
 */
public record RelayedRequest(
    RoutedRequest routed,
    Duration remaining,
    OptionalLong lastEventId,
    int maxAttempts,
    Set<InstanceId> excludedTargets,
    RelayListener listener,
    BooleanSupplier retryPermit) {

  /** Validates the components and copies the set. */
  public RelayedRequest {
    Objects.requireNonNull(routed, "routed");
    Objects.requireNonNull(remaining, "remaining");
    Objects.requireNonNull(lastEventId, "lastEventId");
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts must be at least 1: " + maxAttempts);
    }
    Objects.requireNonNull(retryPermit, "retryPermit");
    excludedTargets = Set.copyOf(excludedTargets);
    Objects.requireNonNull(listener, "listener");
  }

  /**
   * Creates a request whose attempts nobody learns of and whose retries through other entries are
   * not limited.
   *
   * @param routed the request, not null
   * @param remaining the time until the deadline of the request, not null
   * @param lastEventId the id of the event after which a stream resumes, empty for a new stream,
   *     not null
   * @param maxAttempts the number of targets that may still run the request, at least 1
   * @param excludedTargets the targets that were tried before, copied, not null
   */
  public RelayedRequest(
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId,
      int maxAttempts,
      Set<InstanceId> excludedTargets) {
    this(
        routed,
        remaining,
        lastEventId,
        maxAttempts,
        excludedTargets,
        RelayListener.none(),
        () -> true);
  }

  /**
   * Returns this request for the next entry, which may not use the targets that rejected it.
   *
   * @return the request, never null
   */
  public RelayedRequest withoutRejectingTargets() {
    Set<InstanceId> excluded = new HashSet<>(excludedTargets);
    excluded.addAll(listener.getRejectingTargets());
    return new RelayedRequest(
        routed, remaining, lastEventId, maxAttempts, excluded, listener, retryPermit);
  }

  /**
   * Returns this request with another time until its deadline.
   *
   * @param newRemaining the time until the deadline of the request, not null
   * @return the request, never null
   */
  public RelayedRequest withRemaining(Duration newRemaining) {
    return new RelayedRequest(
        routed, newRemaining, lastEventId, maxAttempts, excludedTargets, listener, retryPermit);
  }
}
