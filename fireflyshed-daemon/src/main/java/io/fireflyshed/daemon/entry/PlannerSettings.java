package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.assignment.ReplicaFormer;
import io.fireflyshed.coordination.assignment.ReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairReplicaPlanner;
import io.fireflyshed.coordination.repair.RepairSettings;
import io.fireflyshed.coordination.repair.RepairWeights;
import io.fireflyshed.coordination.repair.RolloutSettings;
import java.util.Objects;

/**
 * Holds the settings of the planner that a process uses when it coordinates its zone.
 *
 * @param kind which planner, not null
 * @param repair the settings of forming and repair, not null
 * @param rollout the bounds of changes on purpose, not null
 */
public record PlannerSettings(PlannerKind kind, RepairSettings repair, RolloutSettings rollout) {

  /** Checks the parts of the record. */
  public PlannerSettings {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(repair, "repair");
    Objects.requireNonNull(rollout, "rollout");
  }

  /**
   * Creates settings of the default planner. The weights are equal, because repair itself compares
   * only times; they decide on how many spares to reserve.
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
   * @return a planner without memory, never null
   */
  ReplicaPlanner newPlanner() {
    return switch (kind) {
      case REPAIR -> new RepairReplicaPlanner(repair, rollout);
      case FORM -> new ReplicaFormer();
    };
  }
}
