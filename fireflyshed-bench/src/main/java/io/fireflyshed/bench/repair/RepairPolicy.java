package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.coordination.repair.RepairPlanner;
import java.util.List;
import java.util.OptionalLong;

/** Decides on repairs in a simulation. */
public interface RepairPolicy {

  /**
   * Handles one event.
   *
   * @param event the event, not null
   * @return the actions in their order, never null
   */
  List<RepairAction> handle(RepairEvent event);

  /**
   * Gets when the policy wants to be told the time at the latest.
   *
   * @return the reading of the clock, empty for never
   */
  OptionalLong getNextDeadlineNanos();

  /**
   * Creates a policy that asks a planner.
   *
   * @param planner the planner, not null
   * @return the policy, never null
   */
  static RepairPolicy of(RepairPlanner planner) {
    return new RepairPolicy() {
      @Override
      public List<RepairAction> handle(RepairEvent event) {
        return planner.handle(event);
      }

      @Override
      public OptionalLong getNextDeadlineNanos() {
        return planner.getNextDeadlineNanos();
      }
    };
  }
}
