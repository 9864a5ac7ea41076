package io.fireflyshed.coordination.poison;

/** Tells how a request may be run. */
public enum PoisonVerdict {
  /** Nothing speaks against the request. */
  CLEAR,
  /** The request ran in a crash a moment ago; what else ran in it is not known yet. Ask again. */
  UNDECIDED,
  /** The request ran when a replica crashed; it may run only apart from other suspects. */
  SUSPECTED,
  /** The request crashed replicas again; it must not run. */
  REFUSED
}
