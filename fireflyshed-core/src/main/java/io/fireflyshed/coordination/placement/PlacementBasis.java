package io.fireflyshed.coordination.placement;

/** Lists what targets are compared by. */
public enum PlacementBasis {
  /** The number of requests, each of which counts as one. */
  REQUESTS,
  /** The expected time to the first event, from the work of the requests. */
  EXPECTED_WORK
}
