package io.fireflyshed.state.configuration;

/** Whether a kind of target refuses orders that carry an outdated fencing token. */
public enum FencingSupport {
  /** Orders with an outdated fencing token are refused. */
  ENFORCED,
  /** Fencing tokens are ignored. */
  IGNORED
}
