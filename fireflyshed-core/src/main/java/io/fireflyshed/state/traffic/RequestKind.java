package io.fireflyshed.state.traffic;

/** Classifies requests by whether and how they may be retried. */
public enum RequestKind {
  /** The request may run any number of times with the same effect as once. */
  IDEMPOTENT,
  /** The request must run at most once. */
  NON_IDEMPOTENT,
  /** The response is a stream of events, which may be resumable. */
  STREAM
}
