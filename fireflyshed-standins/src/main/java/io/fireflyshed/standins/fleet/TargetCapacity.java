package io.fireflyshed.standins.fleet;

/**
 * Limits the requests that a {@link TargetStandIn} takes at a time; it rejects all others.
 *
 * @param slots the number of requests that run at a time, positive
 * @param queue the number of requests that wait for a slot, 0 or more
 */
public record TargetCapacity(int slots, int queue) {

  /** States 18 slots, but runs all requests. */
  static final TargetCapacity UNLIMITED = new TargetCapacity(18, Integer.MAX_VALUE);

  boolean isUnlimited() {
    return queue == Integer.MAX_VALUE;
  }
}
