package io.fireflyshed.coordination.routing;

/**
 * Tells a change of the prefix cache of a replica.
 *
 * @param sequence the number of the change at the replica, rising by one; a jump means that changes
 *     were lost
 * @param block the id of the block
 * @param isStored true if the block was stored, false if it was evicted
 */
public record CacheChange(long sequence, long block, boolean isStored) {}
