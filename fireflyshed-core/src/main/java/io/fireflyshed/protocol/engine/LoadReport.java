package io.fireflyshed.protocol.engine;

/**
 * The load of an engine as reported by the engine.
 *
 * @param running the number of requests in the batch, 0 or more
 * @param queued the number of requests waiting for the batch, 0 or more
 * @param cachedTokens the number of tokens in the prefix cache, 0 or more
 * @param ageMillis the age of the report when the engine sent it, in milliseconds
 */
public record LoadReport(int running, int queued, long cachedTokens, long ageMillis) {}
