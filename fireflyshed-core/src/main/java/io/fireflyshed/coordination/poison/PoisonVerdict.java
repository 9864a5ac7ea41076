package io.fireflyshed.coordination.poison;

/** States whether and where a request may run. */
public enum PoisonVerdict {
  /** The request is not suspected and may run anywhere. */
  CLEAR,
  /**
   * A replica crashed a moment ago while it ran the request, and it is not known yet which other
   * requests it ran. The caller asks again later.
   */
  UNDECIDED,
  /** A replica crashed while it ran the request, which may run only apart from other suspects. */
  SUSPECTED,
  /** The request crashed replicas repeatedly and must not run. */
  REFUSED
}
