package io.fireflyshed.protocol.desk;

import io.fireflyshed.state.instance.InstanceRecord;
import java.util.concurrent.CompletableFuture;

/** Sends orders and lookups to the targets of plain services. Implementations are thread safe. */
public interface PlainService {

  /**
   * Sends a one-time order to a target, at most once.
   *
   * @param target the target, not null
   * @param key the idempotency key of the caller, not null
   * @param body the body of the order, not null
   * @return a future of the response; it fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<DeskReply> order(InstanceRecord target, String key, String body);

  /**
   * Looks up a past order. A lookup changes nothing and may be repeated.
   *
   * @param target the target, not null
   * @param key the key to look up, not null
   * @return a future of the response; it fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<DeskReply> lookup(InstanceRecord target, String key);
}
