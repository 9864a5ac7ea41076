package io.fireflyshed.state.peer;

/** Tells what a limit bounds. */
public enum ShareKind {
  /** Requests started in a second. */
  RATE,
  /** Requests that run at the same time. */
  CONCURRENCY
}
