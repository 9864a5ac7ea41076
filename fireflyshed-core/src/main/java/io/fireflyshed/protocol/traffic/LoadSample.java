package io.fireflyshed.protocol.traffic;

/**
 * The load that a target reported with a response.
 *
 * @param running the number of running requests
 * @param waiting the number of waiting requests
 * @param slots the maximum number of requests that the target runs concurrently
 */
public record LoadSample(int running, int waiting, int slots) {}
