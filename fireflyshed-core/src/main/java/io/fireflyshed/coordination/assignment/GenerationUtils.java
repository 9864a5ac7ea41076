package io.fireflyshed.coordination.assignment;

/**
 * Derives generations from epochs. A generation combines the epoch of the coordinator with a
 * counter within that epoch, so generations increase across all replicas of a zone and serve as
 * fencing tokens.
 */
final class GenerationUtils {

  /** Each generation takes two numbers: the first to load, the second to unload. */
  static final int NUMBERS_PER_GENERATION = 2;

  private static final int COUNT_BITS = 24;

  private GenerationUtils() {}

  static long toGeneration(long epoch, long count) {
    if (count >= 1L << (COUNT_BITS - 1)) {
      throw new IllegalStateException("generations are exhausted in epoch " + epoch);
    }
    return (epoch << COUNT_BITS) + count * NUMBERS_PER_GENERATION;
  }

  static long toUnloadFencingToken(long generation) {
    return generation + 1;
  }
}
