package io.fireflyshed.coordination.placement;

/**
 * Rates a target for a request. All ratings of one placement have the same unit.
 *
 * @param cost the cost of the request at the target
 * @param costOfRequest by how much each request raises the cost, positive
 * @param isLate whether the request would wait for a slot for so long that its response is expected
 *     to be late
 */
public record TargetRating(double cost, double costOfRequest, boolean isLate) {}
