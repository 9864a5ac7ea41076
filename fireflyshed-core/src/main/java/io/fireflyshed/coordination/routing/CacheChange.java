package io.fireflyshed.coordination.routing;

/**
 * Describes a change of the prefix cache of a replica.
 *
 * @param sequence the sequence number of the change at the replica, one higher than that of the
 *     previous change; a gap means that changes were lost
 * @param block the id of the block
 * @param isStored true if the block was stored, false if it was evicted
 */
public record CacheChange(long sequence, long block, boolean isStored) {}
