package io.fireflyshed.state.traffic;

/** Names what may be repeated of a request. */
public enum RequestKind {
  /** The request may run any number of times. */
  IDEMPOTENT,
  /** The request runs at most once. */
  ONE_TIME,
  /** The answer is a stream of events. */
  STREAM
}
