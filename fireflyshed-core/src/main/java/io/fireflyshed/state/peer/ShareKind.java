package io.fireflyshed.state.peer;

/** The quantity that a limit restricts. */
public enum ShareKind {
  /** The number of requests started per second. */
  RATE,
  /** The number of concurrent requests. */
  CONCURRENCY
}
