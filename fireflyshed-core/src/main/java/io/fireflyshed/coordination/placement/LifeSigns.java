package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Knows when targets last sent something. Thread safe. */
public final class LifeSigns {

  private final Map<InstanceId, Long> lastNanos = new HashMap<>();

  /** Creates an instance that knows no target. */
  public LifeSigns() {}

  /**
   * Records that a target sent something.
   *
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onSign(InstanceId target, long nowNanos) {
    lastNanos.put(target, nowNanos);
  }

  /**
   * Tests whether a target sent something lately.
   *
   * @param target the target, not null
   * @param maxAge the time for which a sign of life counts, not null
   * @param nowNanos the current time of the monotonic clock
   * @return false if the last sign of life is older or there was none
   */
  public synchronized boolean isRecent(InstanceId target, Duration maxAge, long nowNanos) {
    Long last = lastNanos.get(target);
    return last != null && nowNanos - last <= maxAge.toNanos();
  }

  /**
   * Removes targets that no longer exist.
   *
   * @param listed the targets that still exist, not null
   */
  public synchronized void retain(Set<InstanceId> listed) {
    lastNanos.keySet().retainAll(listed);
  }
}
