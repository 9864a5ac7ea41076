package io.fireflyshed.coordination.budget;

import java.util.Objects;

/**
 * Identifies someone on whose behalf a process holds bytes.
 *
 * @param kind what is identified, not null
 * @param name the name, unique among those of the kind, not null
 */
public record ByteOwner(Kind kind, String name) {

  /** Lists what can be limited. */
  public enum Kind {
    /** A client account. */
    ACCOUNT,
    /** A route, which stands for a kind of request. */
    ROUTE,
    /** A network address that sends requests, which may stand for many callers. */
    PEER_ADDRESS,
    /** A target, for the bytes that it sends. */
    TARGET,
    /** Another entry, for the requests that it relays and the responses that it returns. */
    ENTRY
  }

  /** Validates the components. */
  public ByteOwner {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }
}
