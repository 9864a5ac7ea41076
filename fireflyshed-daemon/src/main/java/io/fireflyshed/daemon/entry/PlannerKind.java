package io.fireflyshed.daemon.entry;

/** The planners that the coordinator of a zone can use. */
public enum PlannerKind {
  /** Forms, repairs and changes replicas by comparing costs. */
  REPAIR,
  /** Forms replicas from free instances in list order, without comparing costs. */
  FORM
}
