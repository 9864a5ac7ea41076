package io.fireflyshed.daemon.entry;

/** Names the planners that a process may use when it coordinates its zone. */
public enum PlannerKind {
  /** Forms, repairs and changes replicas by cost. */
  REPAIR,
  /** Forms replicas from free instances in order, without weighing costs. */
  FORM
}
