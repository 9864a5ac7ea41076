package io.fireflyshed.protocol.desk;

import io.fireflyshed.state.instance.InstanceRecord;
import java.util.concurrent.CompletableFuture;

/** Talks to the targets of plain services. Implementations are thread safe. */
public interface PlainService {

  /**
   * Places a one-time order. The order is sent at most once.
   *
   * @param target the target, not null
   * @param key the idempotency key of the caller, not null
   * @param body the order, not null
   * @return a future of the answer; it fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<DeskReply> order(InstanceRecord target, String key, String body);

  /**
   * Looks up a past order, which changes nothing and may be repeated.
   *
   * @param target the target, not null
   * @param key the key to look up, not null
   * @return a future of the answer; it fails with a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<DeskReply> lookup(InstanceRecord target, String key);
}
