package io.fireflyshed.state.configuration;

/** Tells whether a kind of target refuses orders that carry an old fencing number. */
public enum FencingSupport {
  /** Refuses them. */
  ENFORCED,
  /** Ignores the number. */
  IGNORED
}
