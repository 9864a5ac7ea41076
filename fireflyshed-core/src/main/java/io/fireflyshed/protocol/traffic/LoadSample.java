package io.fireflyshed.protocol.traffic;

/**
 * Holds the load that a target told with an answer.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param slots the requests that the target runs at once
 */
public record LoadSample(int running, int waiting, int slots) {}
