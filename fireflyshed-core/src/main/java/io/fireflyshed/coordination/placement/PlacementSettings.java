package io.fireflyshed.coordination.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of request placement.
 *
 * @param maxQueuedPerReplica the most requests that may wait at a replica beyond its slots; that
 *     many still start within a latency target of a few hundred milliseconds
 * @param maxQueuedPerSlot the most requests per slot that may wait at a target of a plain service
 * @param silenceTimeout the time without an event from any started stream of a target after which
 *     the target gets no new requests until its next event; several passes of a full replica, not
 *     null
 * @param firstEventSilenceTimeout the same timeout for streams that have had no event yet, whose
 *     requests may still wait for a slot, not null
 * @param silenceHold the time for which a target gets no requests after it was last found silent,
 *     unless it makes progress before; callers may leave all its streams meanwhile, not null
 * @param stallTimeout the time without an event from any stream of a target after which the target
 *     counts as stalled and its streams are resumed elsewhere; longer than the pause of about a
 *     second that a sound target may make, and shorter than the two seconds after which callers
 *     abandon a stream, not null
 * @param connectionStallTimeout the time without an event from one stream, while other streams of
 *     its target have events, after which its connection counts as dead, not null
 * @param suspectTime the time for which a stalled target gets no requests, unless it makes progress
 *     before, not null
 * @param initialUnreachableTime the time for which a target gets no requests after a first failed
 *     connection; it doubles with each further failure up to {@code suspectTime}, not null
 * @param zonePenalty the load that is added for a target in another zone, as a fraction of its
 *     slots
 * @param basis what targets are compared by, not null
 */
public record PlacementSettings(
    int maxQueuedPerReplica,
    int maxQueuedPerSlot,
    Duration silenceTimeout,
    Duration firstEventSilenceTimeout,
    Duration silenceHold,
    Duration stallTimeout,
    Duration connectionStallTimeout,
    Duration suspectTime,
    Duration initialUnreachableTime,
    double zonePenalty,
    PlacementBasis basis) {

  /** Validates the components. */
  public PlacementSettings {
    Objects.requireNonNull(silenceTimeout, "silenceTimeout");
    Objects.requireNonNull(firstEventSilenceTimeout, "firstEventSilenceTimeout");
    Objects.requireNonNull(silenceHold, "silenceHold");
    Objects.requireNonNull(stallTimeout, "stallTimeout");
    Objects.requireNonNull(connectionStallTimeout, "connectionStallTimeout");
    Objects.requireNonNull(suspectTime, "suspectTime");
    Objects.requireNonNull(initialUnreachableTime, "initialUnreachableTime");
    Objects.requireNonNull(basis, "basis");
  }

  /**
   * Returns these settings with another basis.
   *
   * @param newBasis what targets are compared by, not null
   * @return the settings, never null
   */
  public PlacementSettings withBasis(PlacementBasis newBasis) {
    return new PlacementSettings(
        maxQueuedPerReplica,
        maxQueuedPerSlot,
        silenceTimeout,
        firstEventSilenceTimeout,
        silenceHold,
        stallTimeout,
        connectionStallTimeout,
        suspectTime,
        initialUnreachableTime,
        zonePenalty,
        newBasis);
  }

  /**
   * Creates the default settings.
   *
   * @return the settings, never null
   */
  public static PlacementSettings ofDefaults() {
    return new PlacementSettings(
        6,
        3,
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        Duration.ofMillis(1000),
        Duration.ofMillis(1500),
        Duration.ofMillis(2500),
        Duration.ofSeconds(6),
        Duration.ofSeconds(1),
        0.03,
        PlacementBasis.REQUESTS);
  }

  /** Returns the most requests that may run or wait at a target with some slots. */
  int getCapacity(int slots, boolean isModelPool) {
    return isModelPool ? slots + maxQueuedPerReplica : slots * (1 + maxQueuedPerSlot);
  }
}
