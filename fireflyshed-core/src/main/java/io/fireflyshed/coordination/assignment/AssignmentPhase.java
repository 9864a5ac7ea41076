package io.fireflyshed.coordination.assignment;

/** Names the phases in the life of one generation of a replica. */
public enum AssignmentPhase {
  /** The replica holds its members, whether they serve or not. */
  ACTIVE,
  /** The replica serves no longer, and its members are held until no entry can still use them. */
  DISSOLVING,
  /** The members are free; the row stays so that generations grow when the id is used again. */
  DISSOLVED
}
