package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.desk.DeskReply;
import java.util.concurrent.CompletableFuture;

/** Places one-time orders. Implementations are thread safe. */
@FunctionalInterface
public interface OrderPlacer {

  /**
   * Places an order, which runs at most once.
   *
   * @param order the order, not null
   * @return a future of the reply; it fails with a {@link
   *     io.fireflyshed.protocol.problem.ProblemException} or a {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  CompletableFuture<DeskReply> place(OrderRequest order);
}
