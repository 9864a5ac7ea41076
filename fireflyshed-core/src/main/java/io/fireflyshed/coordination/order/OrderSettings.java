package io.fireflyshed.coordination.order;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of an {@link OrderLedger}.
 *
 * @param groupInterval the shortest time between two groups of claims, and between two batches of
 *     results, of one process, not null
 * @param maxGroupOrders the most orders in one transaction, positive
 * @param maxOpenGroups the most transactions of claims in flight, positive
 * @param maxOrders the most orders that wait, run or await the recording of their result, positive
 * @param claimTimeout the longest time from submission to dispatch, not null
 * @param retryInterval the wait before a failed read or write of the store is repeated, not null
 * @param maxTargets the most targets that one attempt tries, positive
 */
public record OrderSettings(
    Duration groupInterval,
    int maxGroupOrders,
    int maxOpenGroups,
    int maxOrders,
    Duration claimTimeout,
    Duration retryInterval,
    int maxTargets) {

  /** Checks the parts of the record. */
  public OrderSettings {
    Objects.requireNonNull(groupInterval, "groupInterval");
    Objects.requireNonNull(claimTimeout, "claimTimeout");
    Objects.requireNonNull(retryInterval, "retryInterval");
    if (maxGroupOrders < 1 || maxOpenGroups < 1 || maxOrders < 1 || maxTargets < 1) {
      throw new IllegalArgumentException("all limits must be positive");
    }
  }

  /**
   * Creates the settings of an entry.
   *
   * @return the settings, never null
   */
  public static OrderSettings ofDefaults() {
    return new OrderSettings(
        Duration.ofMillis(100), 1000, 4, 20_000, Duration.ofSeconds(4), Duration.ofMillis(250), 3);
  }
}
