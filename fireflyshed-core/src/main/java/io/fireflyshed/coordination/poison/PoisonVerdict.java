package io.fireflyshed.coordination.poison;

/** Tells how a request may be run. */
public enum PoisonVerdict {
  /** Nothing speaks against the request. */
  CLEAR,
  /** The request ran when a replica crashed; it may run only apart from other suspects. */
  SUSPECTED,
  /** The request crashed replicas again; it must not run. */
  REFUSED
}
