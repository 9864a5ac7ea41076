package io.fireflyshed.transport.peer;

import java.time.Duration;
import java.util.Objects;

/**
 * The times within which a link to another entry must show that it is alive.
 *
 * @param offerTimeout the longest wait for the answer to an offer, not null
 * @param firstOfferTimeout the longest wait for a new connection and the answer to the first offer
 *     on it, not null
 * @param probeInterval the delay between two probes while requests are in flight, not null
 * @param maxSilence the silence after which a link takes no more requests and those in flight may
 *     get successors, not null
 */
record RelayTiming(
    Duration offerTimeout,
    Duration firstOfferTimeout,
    Duration probeInterval,
    Duration maxSilence) {

  /** Validates the components. */
  RelayTiming {
    Objects.requireNonNull(offerTimeout, "offerTimeout");
    Objects.requireNonNull(firstOfferTimeout, "firstOfferTimeout");
    Objects.requireNonNull(probeInterval, "probeInterval");
    Objects.requireNonNull(maxSilence, "maxSilence");
  }

  /**
   * Returns the times for entries that reach each other within a few milliseconds. An answer comes
   * within one round trip, a first one within three and the set-up of the connection; three probes
   * in a row may be late.
   */
  static RelayTiming ofDefaults() {
    return new RelayTiming(
        Duration.ofMillis(150),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofSeconds(2));
  }
}
