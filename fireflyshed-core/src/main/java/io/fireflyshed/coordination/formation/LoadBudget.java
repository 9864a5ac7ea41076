package io.fireflyshed.coordination.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the loads from the shared weight store that began in a sliding window. Not thread safe.
 *
 * <p>A coordinator that takes over doesn't know what its predecessor began, so it starts with a
 * full window.
 */
final class LoadBudget {

  private final Duration window;
  private final Deque<Long> begun = new ArrayDeque<>();
  private int limit;
  private boolean isUnlimited;

  LoadBudget(Duration window) {
    this.window = window;
  }

  void setLimit(int limit) {
    this.limit = Math.max(1, limit);
  }

  /** Lifts the limit, as before the first request of the deployment, when loads are free. */
  void setUnlimited(boolean isUnlimited) {
    this.isUnlimited = isUnlimited;
  }

  /** Counts as many loads as the window allows, as a predecessor may have begun. */
  void fill(long nowNanos) {
    begin(limit, nowNanos);
  }

  boolean isAllowed(int loads, long nowNanos) {
    while (!begun.isEmpty() && nowNanos - begun.peek() > window.toNanos()) {
      begun.remove();
    }
    return isUnlimited || loads == 0 || begun.size() + loads <= limit;
  }

  void begin(int loads, long nowNanos) {
    for (int i = 0; i < loads; i++) {
      begun.add(nowNanos);
    }
  }
}
