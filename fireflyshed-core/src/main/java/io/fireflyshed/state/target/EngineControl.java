package io.fireflyshed.state.target;

import java.util.concurrent.CompletableFuture;

/**
 * Requests reports of engines, which are the targets that run models, and sends orders to them.
 * Implementations are thread safe.
 */
public interface EngineControl {

  /**
   * Requests the current report of an engine.
   *
   * @param target the engine, not null
   * @return a future of the report; it fails with a {@link
   *     io.fireflyshed.state.error.ServingException} if no valid report was received
   */
  CompletableFuture<EngineReport> report(Target target);

  /**
   * Sends an order to an engine.
   *
   * @param target the engine, not null
   * @param order the order, not null
   * @param fencingToken the fencing token of the coordinator's lease
   * @param orderSequence the number of orders that the engine must have started before this one,
   *     counted since its own start; a different number is a conflict
   * @return a future of the reply, {@link OrderReply#UNKNOWN} if none was received; it never fails
   */
  CompletableFuture<OrderReply> order(
      Target target, EngineOrder order, long fencingToken, long orderSequence);
}
