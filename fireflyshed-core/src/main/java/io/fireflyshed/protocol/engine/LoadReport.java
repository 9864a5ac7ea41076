package io.fireflyshed.protocol.engine;

/**
 * Holds what an engine says of its load.
 *
 * @param running the number of requests in the batch, 0 or more
 * @param queued the number of requests that wait, 0 or more
 * @param cachedTokens the number of tokens in the prefix cache, 0 or more
 * @param ageMillis how old the report was when the engine sent it, in milliseconds
 */
public record LoadReport(int running, int queued, long cachedTokens, long ageMillis) {}
