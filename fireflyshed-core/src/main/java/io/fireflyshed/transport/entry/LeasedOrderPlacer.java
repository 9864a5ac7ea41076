package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Refuses orders as not run while the process may be behind with its configuration. Thread safe.
 */
public final class LeasedOrderPlacer implements OrderPlacer {

  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 2;

  private final OrderPlacer placer;
  private final BooleanSupplier isCurrent;

  /**
   * Creates a placer.
   *
   * @param placer places the orders, not null
   * @param isCurrent tests whether the lease of the configuration holds, not null
   */
  public LeasedOrderPlacer(OrderPlacer placer, BooleanSupplier isCurrent) {
    this.placer = Objects.requireNonNull(placer, "placer");
    this.isCurrent = Objects.requireNonNull(isCurrent, "isCurrent");
  }

  @Override
  public CompletableFuture<DeskReply> place(OrderRequest order) {
    if (isCurrent.getAsBoolean()) {
      return placer.place(order);
    }
    return CompletableFuture.failedFuture(
        new ProblemException(
            Problem.ofLater(
                UNAVAILABLE,
                "configuration-may-be-old",
                "the configuration of this entry may be old, so it takes no orders",
                RETRY_AFTER_SECONDS)));
  }
}
