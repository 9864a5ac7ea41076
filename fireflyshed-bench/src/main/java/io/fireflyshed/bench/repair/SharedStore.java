package io.fireflyshed.bench.repair;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Acts as the rate-limited weight store: all loads share its rate evenly, and no load exceeds its
 * own full rate. Not thread safe.
 */
final class SharedStore {

  private final double loadNanos;
  private final int slots;
  private final Map<Integer, Load> loads = new HashMap<>();
  private final PriorityQueue<Load> queue =
      new PriorityQueue<>(Comparator.comparingDouble(Load::dueWork).thenComparing(Load::instance));
  private double work;
  private long nowNanos;

  SharedStore(long loadNanos, int slots) {
    this.loadNanos = loadNanos;
    this.slots = slots;
  }

  void advance(long toNanos) {
    work += (toNanos - nowNanos) * getRate();
    nowNanos = toNanos;
  }

  void start(int instance) {
    cancel(instance);
    Load load = new Load(instance, work + loadNanos);
    loads.put(instance, load);
    queue.add(load);
  }

  void cancel(int instance) {
    Load load = loads.remove(instance);
    if (load != null) {
      queue.remove(load);
    }
  }

  long getNextFinishNanos() {
    Load next = queue.peek();
    if (next == null) {
      return Long.MAX_VALUE;
    }
    return nowNanos + Math.max(0, (long) Math.ceil((next.dueWork() - work) / getRate()));
  }

  /** Takes the next load off; it must be due. */
  int finishNext() {
    Load load = queue.remove();
    loads.remove(load.instance());
    return load.instance();
  }

  private double getRate() {
    return queue.size() <= slots ? 1 : slots / (double) queue.size();
  }

  private record Load(int instance, double dueWork) {}
}
