package io.fireflyshed.transport.entry;

import io.fireflyshed.protocol.desk.DeskReply;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Refuses orders as not run while the configuration of the process may be outdated. Thread safe.
 */
public final class LeasedOrderPlacer implements OrderPlacer {

  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 2;

  private final OrderPlacer placer;
  private final BooleanSupplier isCurrent;

  /**
   * Creates a placer.
   *
   * @param placer places orders while the configuration is current, not null
   * @param isCurrent tests whether the configuration of the process is known to be current, not
   *     null
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
                "the configuration of this entry may be outdated, so it accepts no orders",
                RETRY_AFTER_SECONDS)));
  }
}
