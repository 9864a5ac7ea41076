package io.fireflyshed.transport.forward;

import reactor.core.publisher.Mono;

/** Tells what is known of the connection to a caller. Thread safe. */
@FunctionalInterface
public interface CallerLink {

  /**
   * Waits until everything was read that callers have sent so far, so that it would be known if the
   * caller has left.
   *
   * @return completes then, never null
   */
  Mono<Void> awaitReads();

  /**
   * Tests whether the caller has not read what was sent to it, so that no more can be sent.
   *
   * @return true as long as that is the case
   */
  default boolean isBlocked() {
    return false;
  }

  /**
   * Creates the link to a caller of which nothing is known.
   *
   * @return a link that never waits and is never blocked, never null
   */
  static CallerLink none() {
    return Mono::empty;
  }
}
