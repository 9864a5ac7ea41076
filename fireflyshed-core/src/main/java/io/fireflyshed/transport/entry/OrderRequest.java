package io.fireflyshed.transport.entry;

import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.util.List;
import java.util.Objects;

/**
 * Describes a one-time order from a caller.
 *
 * @param account the client account, not null
 * @param service the plain service, not null
 * @param key the idempotency key, which the caller chose, not null
 * @param body the body of the order, not null
 * @param targets the usable targets, copied, not null
 */
public record OrderRequest(
    String account, ServiceName service, String key, String body, List<InstanceRecord> targets) {

  /** Validates the components and copies the list. */
  public OrderRequest {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(body, "body");
    targets = List.copyOf(targets);
  }
}
