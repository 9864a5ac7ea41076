package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Target;
import java.util.Objects;

/**
 * An order that is to be given to an engine now.
 *
 * @param target the engine, not null
 * @param order the order, not null
 * @param orderSequence the number of orders that the engine must have begun; it makes an earlier
 *     order that is still on its way void, or this one
 * @param reason why, for the log, not null
 */
public record FormationOrder(Target target, EngineOrder order, long orderSequence, String reason) {

  /** Checks the parts of the record. */
  public FormationOrder {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(order, "order");
    Objects.requireNonNull(reason, "reason");
  }

  /** Creates the next order of an engine. */
  static FormationOrder of(EngineState engine, EngineOrder order, String reason) {
    return new FormationOrder(engine.getTarget(), order, engine.getOrderSequence(), reason);
  }
}
