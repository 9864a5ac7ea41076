package io.fireflyshed.transport.entry;

import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.util.List;
import java.util.Objects;

/**
 * Describes a one-time order of a caller.
 *
 * @param account the client account, not null
 * @param service the plain service, not null
 * @param key the idempotency key of the caller, not null
 * @param body the order, not null
 * @param targets the usable targets, copied, not null
 */
public record OrderRequest(
    String account, ServiceName service, String key, String body, List<InstanceRecord> targets) {

  /** Checks the parts and copies the list. */
  public OrderRequest {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(body, "body");
    targets = List.copyOf(targets);
  }
}
