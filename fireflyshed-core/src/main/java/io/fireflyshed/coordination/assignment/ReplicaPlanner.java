package io.fireflyshed.coordination.assignment;

import java.util.List;

/**
 * Decides which replicas to form, load and dissolve.
 *
 * <p>A planner only proposes. The caller applies each action in a transaction that depends on the
 * epoch of the zone coordinator, and skips an action that no longer matches the stored rows, so the
 * state passed to a planner may be slightly out of date. An implementation may keep state between
 * calls, such as the time at which it started to wait for a member, but must work without that
 * state after a change of coordinator. It reads no clock and does no I/O. Not thread safe; must be
 * called on the control thread.
 */
public interface ReplicaPlanner {

  /**
   * Plans the next actions.
   *
   * @param state the state of the zone, not null
   * @return the actions in the order in which to apply them, empty if there is nothing to do, never
   *     null
   */
  List<PlanAction> plan(ClusterState state);
}
