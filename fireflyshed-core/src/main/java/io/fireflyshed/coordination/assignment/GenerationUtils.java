package io.fireflyshed.coordination.assignment;

/**
 * Makes generations from epochs. A generation is the epoch of the coordinator and a count within
 * it, so generations grow over all replicas of a zone and serve as fencing numbers.
 */
final class GenerationUtils {

  /** A generation takes two numbers: one to load, the one above it to unload. */
  static final int STEP = 2;

  private static final int COUNT_BITS = 24;

  private GenerationUtils() {}

  static long toGeneration(long epoch, long count) {
    if (count >= 1L << (COUNT_BITS - 1)) {
      throw new IllegalStateException("too many generations in epoch " + epoch);
    }
    return (epoch << COUNT_BITS) + count * STEP;
  }

  static long toUnloadFence(long generation) {
    return generation + 1;
  }
}
