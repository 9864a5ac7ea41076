package io.fireflyshed.coordination.order;

import java.util.Objects;

/**
 * The exclusive right of one attempt to send an order to a target.
 *
 * @param key the order, not null
 * @param attempt the id of the attempt, unique over all processes, not null
 * @param digest the digest of the body of the order, not null
 * @param group the group under which the result of the attempt is recorded, not null
 */
public record OrderClaim(OrderKey key, String attempt, String digest, String group) {

  /** Validates the components. */
  public OrderClaim {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(digest, "digest");
    Objects.requireNonNull(group, "group");
  }
}
