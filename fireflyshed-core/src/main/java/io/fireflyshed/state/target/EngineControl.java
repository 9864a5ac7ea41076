package io.fireflyshed.state.target;

import java.util.concurrent.CompletableFuture;

/** Asks engines for reports and gives them orders. Implementations are thread safe. */
public interface EngineControl {

  /**
   * Asks an engine for its report.
   *
   * @param target the engine, not null
   * @return a future of the report; it fails with a {@link
   *     io.fireflyshed.state.error.ServingException} if none came
   */
  CompletableFuture<EngineReport> report(Target target);

  /**
   * Gives an order.
   *
   * @param target the engine, not null
   * @param order the order, not null
   * @param fencingToken the token of the coordinator's lease
   * @param orderSequence the number of orders that the engine must have begun
   * @return a future of the answer; it doesn't fail
   */
  CompletableFuture<OrderReply> order(
      Target target, EngineOrder order, long fencingToken, long orderSequence);
}
