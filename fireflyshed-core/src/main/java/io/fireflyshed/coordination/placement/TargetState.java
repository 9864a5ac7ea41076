package io.fireflyshed.coordination.placement;

import java.util.OptionalDouble;

/**
 * Holds what is known of a target when a request is placed.
 *
 * @param requests the running and waiting requests
 * @param slots the most requests that the target runs at the same time, at least 1
 * @param othersInFlight the requests of other entries, as they told last
 * @param othersWorkMillis the time for which these requests will still keep the target busy, empty
 *     if it wasn't told, not null
 * @param othersStartsPerSecond the rate at which other entries started requests, as they told last
 * @param ageNanos the age of what is known of the requests of other entries, 0 or more
 * @param slowness the mean interval between the events of a stream, as a multiple of that of the
 *     fastest target; 1 or more, with a tolerance
 * @param failureRate the recent fraction of failed attempts, 0 to 1
 * @param isOtherZone whether the target is in another availability zone than this entry
 */
public record TargetState(
    int requests,
    int slots,
    int othersInFlight,
    OptionalDouble othersWorkMillis,
    double othersStartsPerSecond,
    long ageNanos,
    double slowness,
    double failureRate,
    boolean isOtherZone) {}
