package io.fireflyshed.bench;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.Supplier;

/** Reads processor time and memory of this process. */
public final class BenchUtils {

  private static final Duration WARM_UP = Duration.ofMillis(500);
  private static final int REPEATS = 21;
  private static final int COLLECTIONS = 3;

  private BenchUtils() {}

  /**
   * Gets the median time of a step, after a time to warm up.
   *
   * @param step the step, not null
   * @return the time in microseconds
   */
  public static double measureMicros(Runnable step) {
    long end = System.nanoTime() + WARM_UP.toNanos();
    while (end - System.nanoTime() > 0) {
      step.run();
    }
    double[] times = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      long start = System.nanoTime();
      step.run();
      times[i] = (System.nanoTime() - start) / 1e3;
    }
    Arrays.sort(times);
    return times[REPEATS / 2];
  }

  /**
   * Gets the heap that an object holds.
   *
   * @param factory makes the object, not null
   * @return the size in bytes, 0 or more
   */
  public static double measureBytes(Supplier<Object> factory) {
    long before = getUsedHeap();
    Object held = factory.get();
    long after = getUsedHeap();
    if (held == null) {
      throw new IllegalStateException("nothing was made");
    }
    return Math.max(0, after - before);
  }

  /**
   * Gets the processor time of the process.
   *
   * @return the time in microseconds
   */
  public static double getCpuMicros() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getProcessCpuTime()
        / 1e3;
  }

  /**
   * Gets the used heap after collections.
   *
   * @return the size in bytes
   */
  public static long getUsedHeap() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
