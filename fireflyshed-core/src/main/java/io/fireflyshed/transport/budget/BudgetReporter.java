package io.fireflyshed.transport.budget;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/** Logs when a memory budget is full and when it has room again, and publishes what it holds. */
public final class BudgetReporter implements ByteBudget.Listener {

  private final EventLog log = new EventLog("budget");

  /**
   * Publishes the metrics of a budget.
   *
   * @param budget the budget, not null
   * @param registry registers the metrics, not null
   */
  public static void publish(ByteBudget budget, MeterRegistry registry) {
    Objects.requireNonNull(budget, "budget");
    Gauge.builder("fireflyshed.budget.capacity", budget, ByteBudget::getCapacity)
        .baseUnit("bytes")
        .register(registry);
    for (ByteUse use : ByteUse.values()) {
      Gauge.builder("fireflyshed.budget.used", budget, b -> b.getUsed(use))
          .tag("use", use.name().toLowerCase(Locale.ROOT))
          .baseUnit("bytes")
          .register(registry);
    }
    FunctionCounter.builder("fireflyshed.budget.denied", budget, ByteBudget::getDenied)
        .register(registry);
    FunctionCounter.builder("fireflyshed.budget.evicted", budget, ByteBudget::getEvicted)
        .register(registry);
  }

  @Override
  public void onFull(Map<ByteUse, Long> usedBytes) {
    log.warn("memory budget full", "used_bytes", usedBytes);
  }

  @Override
  public void onRoom(long deniedCount) {
    log.info("memory budget has room", "denied", deniedCount);
  }
}
