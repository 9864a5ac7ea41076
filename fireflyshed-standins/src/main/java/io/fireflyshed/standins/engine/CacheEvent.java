package io.fireflyshed.standins.engine;

/**
 * Tells a change of a prefix cache.
 *
 * @param sequence the number of the event, rising by one
 * @param block the hash of the prompt up to the end of the block
 * @param isStored true if the block was stored, false if it was evicted
 */
record CacheEvent(long sequence, long block, boolean isStored) {}
