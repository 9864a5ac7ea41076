package io.fireflyshed.coordination.formation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the loads from the shared weight store that begin within a sliding window. Not thread
 * safe.
 *
 * <p>A new coordinator doesn't know at first which loads its predecessor began, so it starts with a
 * full window.
 */
final class LoadBudget {

  private final Duration window;
  private final Deque<Long> startNanos = new ArrayDeque<>();
  private int limit;
  private boolean isUnlimited;

  LoadBudget(Duration window) {
    this.window = window;
  }

  void setLimit(int limit) {
    this.limit = Math.max(1, limit);
  }

  /**
   * Sets whether the limit is lifted, as before the first request of the deployment, when loads
   * delay no requests.
   */
  void setUnlimited(boolean isUnlimited) {
    this.isUnlimited = isUnlimited;
  }

  boolean isUnlimited() {
    return isUnlimited;
  }

  /** Counts as many loads as the limit allows, which a predecessor may have begun just before. */
  void fill(long nowNanos) {
    recordStarts(limit, nowNanos);
  }

  /**
   * Counts only some of the loads that {@link #fill} counted, once it is known how many the
   * predecessor can have begun.
   */
  void limitFill(int loads, long fillNanos) {
    int excess = limit - loads;
    while (excess > 0 && startNanos.remove(fillNanos)) {
      excess--;
    }
  }

  boolean isAllowed(int loads, long nowNanos) {
    while (!startNanos.isEmpty() && nowNanos - startNanos.peek() > window.toNanos()) {
      startNanos.remove();
    }
    return isUnlimited || loads == 0 || startNanos.size() + loads <= limit;
  }

  void recordStarts(int loads, long nowNanos) {
    for (int i = 0; i < loads; i++) {
      startNanos.add(nowNanos);
    }
  }
}
