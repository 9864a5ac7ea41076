package io.fireflyshed.coordination.order;

import io.fireflyshed.state.IdentifierUtils;
import io.fireflyshed.state.replica.ServiceName;
import java.util.Objects;

/**
 * Identifies a one-time order by the idempotency key that its caller chose.
 *
 * @param service the plain service, not null
 * @param account the client account, not null
 * @param key the idempotency key, a valid identifier, not null
 */
public record OrderKey(ServiceName service, String account, String key) {

  /** Validates the components. */
  public OrderKey {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(account, "account");
    IdentifierUtils.requireIdentifier("key", key);
  }

  @Override
  public String toString() {
    return service + "/" + account + "/" + key;
  }
}
