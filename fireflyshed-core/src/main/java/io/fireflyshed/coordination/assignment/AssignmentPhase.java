package io.fireflyshed.coordination.assignment;

/** The phases of one generation of a replica. */
public enum AssignmentPhase {
  /** The replica holds its members, whether or not it serves. */
  ACTIVE,
  /** The replica no longer serves. Its members are held until no entry can use them any more. */
  DISSOLVING,
  /** The members are free. The row is kept so that generations keep growing if the id is reused. */
  DISSOLVED
}
