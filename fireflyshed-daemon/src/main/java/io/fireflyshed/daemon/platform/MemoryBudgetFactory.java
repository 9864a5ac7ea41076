package io.fireflyshed.daemon.platform;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.transport.budget.BudgetReporter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.util.internal.PlatformDependent;
import java.util.OptionalLong;

/** Creates the budget of the bytes of messages that an entry process may hold. */
final class MemoryBudgetFactory {

  /** Leaves the rest to the buffers of the connections. */
  private static final double FRACTION_OF_DIRECT_MEMORY = 0.6;

  /** Leaves the rest to the state of the process and to garbage. */
  private static final double FRACTION_OF_HEAP = 0.4;

  /** Leaves the rest to the heap, the code and the threads of the process. */
  private static final double FRACTION_OF_MEMORY = 0.15;

  private MemoryBudgetFactory() {}

  /**
   * Creates a budget by the limits of this process.
   *
   * @param memoryBytes the memory that the process may use, empty if unknown, not null
   * @param clock the monotonic clock of this process, not null
   * @param metrics publishes what is held, not null
   */
  static ByteBudget newBudget(
      OptionalLong memoryBytes, MonotonicClock clock, MeterRegistry metrics) {
    ByteBudget created = new ByteBudget(getBytes(memoryBytes), clock, new BudgetReporter());
    BudgetReporter.publish(created, metrics);
    return created;
  }

  /** Returns the bytes of messages that this process may hold, on the heap and outside of it. */
  private static long getBytes(OptionalLong memoryBytes) {
    double direct = PlatformDependent.maxDirectMemory() * FRACTION_OF_DIRECT_MEMORY;
    double heap = Runtime.getRuntime().maxMemory() * FRACTION_OF_HEAP;
    double memory = memoryBytes.orElse(Long.MAX_VALUE) * FRACTION_OF_MEMORY;
    return (long) Math.min(Math.min(direct, heap), memory);
  }
}
