package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Target;
import java.util.Objects;

/**
 * An order to send to an engine now.
 *
 * @param target the engine, not null
 * @param order the order, not null
 * @param orderSequence the number of orders that the engine must have begun before this one; of two
 *     orders with the same number, only the first to arrive takes effect
 * @param reason the reason, for the log, not null
 */
public record FormationOrder(Target target, EngineOrder order, long orderSequence, String reason) {

  /** Validates the components. */
  public FormationOrder {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(order, "order");
    Objects.requireNonNull(reason, "reason");
  }

  /** Creates an order with the engine's current order sequence. */
  static FormationOrder of(EngineState engine, EngineOrder order, String reason) {
    return new FormationOrder(engine.getTarget(), order, engine.getOrderSequence(), reason);
  }
}
