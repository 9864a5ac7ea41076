package io.fireflyshed.coordination.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the limits of placement.
 *
 * @param queueAllowance the requests that may wait at a replica beyond its slots; those few are
 *     admitted within a latency target of some hundred milliseconds
 * @param plainQueueAllowance the requests that may wait at a target of a plain service for each of
 *     its slots
 * @param eventStall the silence of a target with started streams after which it is taken to stand
 *     still; several passes of a full replica
 * @param firstEventStall the same if no stream of this entry has started there
 * @param connectionStall the silence of one stream while others of its target go on, after which
 *     its connection is taken to be dead
 * @param suspicion the time for which a target that stood still gets no requests, unless it is
 *     heard of again
 * @param unreachable the time for which a target that no connection reached gets no requests; it
 *     doubles with each further failure up to {@code suspicion}
 * @param zonePenalty the load that a target in another zone counts for more, as a part of its slots
 */
public record PlacementSettings(
    int queueAllowance,
    int plainQueueAllowance,
    Duration eventStall,
    Duration firstEventStall,
    Duration connectionStall,
    Duration suspicion,
    Duration unreachable,
    double zonePenalty) {

  /** Checks the parts of the record. */
  public PlacementSettings {
    Objects.requireNonNull(eventStall, "eventStall");
    Objects.requireNonNull(firstEventStall, "firstEventStall");
    Objects.requireNonNull(connectionStall, "connectionStall");
    Objects.requireNonNull(suspicion, "suspicion");
    Objects.requireNonNull(unreachable, "unreachable");
  }

  /**
   * Creates the usual settings.
   *
   * @return the settings, never null
   */
  public static PlacementSettings ofDefaults() {
    return new PlacementSettings(
        6,
        3,
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        Duration.ofMillis(2500),
        Duration.ofSeconds(6),
        Duration.ofSeconds(1),
        0.03);
  }
}
