package io.fireflyshed.coordination.assignment;

import java.util.List;

/**
 * Decides which replicas to form, load and dissolve.
 *
 * <p>A planner only proposes. The caller applies an action in a transaction that is conditioned on
 * the epoch of the zone coordinator and skips an action that no longer fits the stored rows, so a
 * planner may be called with a state that is a little out of date. An implementation may keep
 * memory between calls, such as the time at which it started to wait for a member, but it must
 * accept that a new coordinator starts without that memory. It reads no clock and does no I/O. Not
 * thread safe; belongs to the control thread.
 */
public interface ReplicaPlanner {

  /**
   * Plans the next actions.
   *
   * @param state the zone as the coordinator knows it, not null
   * @return the actions in the order in which they are to be applied, never null; empty to wait
   */
  List<PlanAction> plan(ClusterState state);
}
