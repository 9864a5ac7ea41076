package io.fireflyshed.standins.engine;

/**
 * Describes a change of the prefix cache of an engine.
 *
 * @param sequence the sequence number of the event, which increases by one per event
 * @param block the id of the block, a hash of the prompt up to the end of the block
 * @param isStored true if the block was stored, false if it was evicted
 */
record CacheEvent(long sequence, long block, boolean isStored) {}
