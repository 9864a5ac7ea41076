package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.assignment.ReplicaFormer;
import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.coordination.repair.RolloutSettings;
import java.util.Objects;

/**
 * The settings of the planner that a process uses as coordinator of its zone.
 *
 * @param kind the planner, not null
 * @param repair the settings of formation and repair, not null
 * @param rollout the limits on planned changes, not null
 */
public record PlannerSettings(PlannerKind kind, RepairSettings repair, RolloutSettings rollout) {

  /** Validates the components. */
  public PlannerSettings {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(repair, "repair");
    Objects.requireNonNull(rollout, "rollout");
  }

  /**
   * Returns the settings of the default planner. The weights are equal, since repair compares only
   * times; they determine how many spares to reserve.
   *
   * @return the settings, never null
   */
  public static PlannerSettings ofDefaults() {
    return new PlannerSettings(
        PlannerKind.REPAIR,
        RepairSettings.of(new RepairWeights(1, 1)),
        RolloutSettings.ofDefaults());
  }

  /**
   * Creates the planner.
   *
   * @return a new planner without state from earlier calls, never null
   */
  ReplicaPlanner newPlanner() {
    return switch (kind) {
      case REPAIR -> new RepairReplicaPlanner(repair, rollout);
      case FORM -> new ReplicaFormer();
    };
  }
}
