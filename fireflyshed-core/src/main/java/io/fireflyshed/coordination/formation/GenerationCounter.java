package io.fireflyshed.coordination.formation;

/**
 * Hands out the generations of replicas, which only grow, also across coordinators.
 *
 * <p>The epoch of the lease is the higher part, so a successor's generations are higher than all of
 * its predecessor's. A lease that lapsed and was renewed keeps its epoch, so the counter belongs to
 * the process and outlives its planners: a generation that was used twice would let an engine that
 * is ready for one replica pass for a member of another. Not thread safe.
 */
public final class GenerationCounter {

  /** The generations that one epoch of the coordinator may use. */
  private static final long GENERATIONS_PER_EPOCH = 1_000_000;

  private long next;

  /** Begins a term of a coordinator; the epoch may be that of the term before. */
  void begin(long epoch) {
    next = Math.max(next, epoch * GENERATIONS_PER_EPOCH + 1);
  }

  long take() {
    return next++;
  }
}
