package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.RouteRequest;

/**
 * A request of the workload.
 *
 * @param session the conversation
 * @param route what routers see
 * @param blocks the blocks of the prompt
 * @param tokens the length of the prompt
 * @param outputTokens the length of the answer
 * @param entry the index of the entry that received it
 * @param arrivalNanos when it arrived
 */
record SimulatedRequest(
    Workload.Session session,
    RouteRequest route,
    long[] blocks,
    int tokens,
    int outputTokens,
    int entry,
    long arrivalNanos) {}
