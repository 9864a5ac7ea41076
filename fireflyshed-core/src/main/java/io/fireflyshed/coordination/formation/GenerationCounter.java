package io.fireflyshed.coordination.formation;

/**
 * Assigns generations to replicas. Generations increase, also from one coordinator to the next.
 *
 * <p>The high part of a generation is the epoch of the lease, so the generations of a coordinator
 * are above all those of its predecessors. A lease that lapsed and was renewed keeps its epoch, so
 * there is one counter for the process, which outlives the planners. If a generation were used
 * twice, an engine that is ready for one replica could pass for a member of another. Not thread
 * safe.
 */
public final class GenerationCounter {

  /** Number of generations available to the coordinator of one epoch. */
  private static final long GENERATIONS_PER_EPOCH = 1_000_000;

  private long nextGeneration;

  /**
   * Returns the epoch of the coordinator that assigned a generation.
   *
   * @param generation the generation
   * @return the epoch, 0 or less if no coordinator assigned it
   */
  public static long toEpoch(long generation) {
    return generation / GENERATIONS_PER_EPOCH;
  }

  /** Moves the counter to the start of an epoch, unless it is already within that epoch. */
  void beginEpoch(long epoch) {
    nextGeneration = Math.max(nextGeneration, epoch * GENERATIONS_PER_EPOCH + 1);
  }

  long next() {
    return nextGeneration++;
  }
}
