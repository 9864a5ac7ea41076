package io.fireflyshed.coordination.order;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of an {@link OrderLedger}.
 *
 * @param groupInterval the minimum time between two new groups of claims, and between two batches
 *     of results, of one process, not null
 * @param maxGroupOrders the maximum number of orders in one transaction, positive
 * @param maxOpenGroups the maximum number of claim transactions in flight, positive
 * @param maxOrders the maximum number of orders that wait, run or have a result that is not yet
 *     recorded, positive
 * @param claimTimeout the maximum time from submission to dispatch, not null
 * @param retryInterval the delay before a failed read or a failed write of results is retried, not
 *     null
 * @param maxTargets the maximum number of targets that one attempt tries, positive
 */
public record OrderSettings(
    Duration groupInterval,
    int maxGroupOrders,
    int maxOpenGroups,
    int maxOrders,
    Duration claimTimeout,
    Duration retryInterval,
    int maxTargets) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if one of the maximum numbers is not positive
   */
  public OrderSettings {
    Objects.requireNonNull(groupInterval, "groupInterval");
    Objects.requireNonNull(claimTimeout, "claimTimeout");
    Objects.requireNonNull(retryInterval, "retryInterval");
    if (maxGroupOrders < 1 || maxOpenGroups < 1 || maxOrders < 1 || maxTargets < 1) {
      throw new IllegalArgumentException(
          "maxGroupOrders, maxOpenGroups, maxOrders and maxTargets must be positive");
    }
  }

  /**
   * Returns the default settings of an entry.
   *
   * @return the settings, never null
   */
  public static OrderSettings ofDefaults() {
    return new OrderSettings(
        Duration.ofMillis(100), 1000, 4, 20_000, Duration.ofSeconds(4), Duration.ofMillis(250), 3);
  }
}
