package io.fireflyshed.bench.order;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.order.OrderSettings;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

/** Measures grouped claims beside one claim a transaction, in the same run. */
public final class OrderBench implements Command {

  private static final Setting<Integer> RATE =
      Setting.ofInteger("rate", 1, 20_000, 5000, "orders offered a second");
  private static final Setting<Integer> SECONDS =
      Setting.ofInteger("seconds", 1, 120, 20, "virtual time of each part of the run");
  private static final Setting<Integer> WRITES =
      Setting.ofInteger("writes", 1, 10_000, 300, "writes a second that the store takes");
  private static final Setting<Integer> ENTRIES =
      Setting.ofInteger("entries", 1, 100, 9, "number of entries");
  private static final Setting<Integer> SEED =
      Setting.ofInteger("seed", 0, Integer.MAX_VALUE, 1, "seed of the run");

  private static final double MICROS_PER_MILLI = 1000;

  @Override
  public String getName() {
    return "bench orders";
  }

  @Override
  public String getSummary() {
    return "Measures one-time orders against a store with few writes a second.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of(RATE, SECONDS, WRITES, ENTRIES, SEED);
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    OrderSettings grouped = OrderSettings.ofDefaults();
    OrderSettings single =
        new OrderSettings(
            Duration.ZERO,
            1,
            Integer.MAX_VALUE,
            grouped.maxOrders(),
            grouped.claimTimeout(),
            grouped.retryInterval(),
            grouped.maxTargets());
    OrderLoad baseline = newLoad(values, single, LimitedStore.Unit.TRANSACTION);
    OrderLoad ours = newLoad(values, grouped, LimitedStore.Unit.TRANSACTION);
    OrderLoad byRow = newLoad(values, grouped, LimitedStore.Unit.ROW);
    baseline.run(values.get(RATE), values.get(SECONDS));
    long start = System.nanoTime();
    ours.run(values.get(RATE), values.get(SECONDS));
    final double cpuNanos = System.nanoTime() - start;
    byRow.run(values.get(RATE), values.get(SECONDS));
    int seconds = values.get(SECONDS);
    figures.print(
        "answered-orders", getRate(ours, seconds), "orders/s", getRate(baseline, seconds));
    figures.print("order-p50", getMillis(ours, 50), "ms", getMillis(baseline, 50));
    figures.print("order-p99", getMillis(ours, 99), "ms", getMillis(baseline, 99));
    figures.print("refused-orders", ours.getRefused(), "orders", baseline.getRefused());
    double orders = ours.getLatencies().getTotalCount();
    double others = baseline.getLatencies().getTotalCount();
    figures.print(
        "transactions-per-order",
        ours.getStore().getTransactions() / orders,
        "transactions",
        baseline.getStore().getTransactions() / others);
    figures.print("rows-per-order", ours.getStore().getWrittenRows() / orders, "rows");
    figures.print("bytes-per-order", ours.getStore().getWrittenBytes() / orders, "bytes");
    figures.print("wall-time-per-order", cpuNanos / orders / 1000, "us");
    figures.print(
        "answered-orders-if-rows-count",
        getRate(byRow, seconds),
        "orders/s",
        getRate(baseline, seconds));
    long doubled = baseline.getDoubled() + ours.getDoubled() + byRow.getDoubled();
    figures.print("orders-run-twice", doubled, "orders");
    boolean isValid = doubled == 0 && ours.getOpen() == 0 && orders > 0;
    return isValid ? EXIT_OK : EXIT_FAILED;
  }

  private static OrderLoad newLoad(
      SettingValues values, OrderSettings settings, LimitedStore.Unit unit) {
    return new OrderLoad(settings, values.get(ENTRIES), unit, values.get(WRITES), values.get(SEED));
  }

  private static double getRate(OrderLoad load, int seconds) {
    return (double) load.getLatencies().getTotalCount() / seconds;
  }

  private static double getMillis(OrderLoad load, double percentile) {
    return load.getLatencies().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
