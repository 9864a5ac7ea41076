package io.fireflyshed.coordination.routing;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Orders the targets of a plain service: usable before just failed, near before far, least loaded
 * first.
 *
 * <p>The order is for the caller to try one after another where a call may be repeated; a call that
 * may not be repeated goes to the first only. Thread safe.
 *
 * <pre>{@code
 * TargetPicker picker = new TargetPicker(zone);
 * InstanceRecord target = picker.sort(targets, clock.nanoTime()).get(0);
 * picker.onStart(target.id());
 * picker.onEnd(target.id(), true, clock.nanoTime());
 * }</pre>
 */
public final class TargetPicker {

  private static final long FAILURE_MEMORY_NANOS = Duration.ofSeconds(5).toNanos();

  /** What is known of one target. */
  private static final class Use {

    private int inFlight;
    private boolean hasFailed;
    private long failedNanos;

    boolean isSuspect(long nowNanos) {
      return hasFailed && nowNanos - failedNanos < FAILURE_MEMORY_NANOS;
    }
  }

  private final AvailabilityZone zone;
  private final Map<InstanceId, Use> uses = new HashMap<>();

  /**
   * Creates a picker that knows nothing of targets.
   *
   * @param zone the availability zone of this process, not null
   */
  public TargetPicker(AvailabilityZone zone) {
    this.zone = Objects.requireNonNull(zone, "zone");
  }

  /**
   * Sorts targets, the best first.
   *
   * @param targets the targets, not null
   * @param nowNanos the reading of the monotonic clock
   * @return a new list, never null
   */
  public synchronized List<InstanceRecord> sort(Collection<InstanceRecord> targets, long nowNanos) {
    return targets.stream()
        .sorted(
            Comparator.<InstanceRecord, Boolean>comparing(t -> isSuspect(t.id(), nowNanos))
                .thenComparing(t -> !t.zone().equals(zone))
                .thenComparing(t -> getInFlight(t.id()))
                .thenComparing(InstanceRecord::id))
        .toList();
  }

  /**
   * Takes in that a call starts.
   *
   * @param target the target, not null
   */
  public synchronized void onStart(InstanceId target) {
    uses.computeIfAbsent(target, t -> new Use()).inFlight++;
  }

  /**
   * Takes in that a call ended.
   *
   * @param target the target, not null
   * @param isAnswered false if the target failed to answer
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void onEnd(InstanceId target, boolean isAnswered, long nowNanos) {
    Use use = uses.computeIfAbsent(target, t -> new Use());
    use.inFlight = Math.max(0, use.inFlight - 1);
    use.hasFailed = !isAnswered;
    use.failedNanos = nowNanos;
  }

  /**
   * Forgets the targets that are not in a list.
   *
   * @param targets the targets to keep, not null
   */
  public synchronized void retain(Set<InstanceId> targets) {
    uses.keySet().retainAll(targets);
  }

  private boolean isSuspect(InstanceId target, long nowNanos) {
    Use use = uses.get(target);
    return use != null && use.isSuspect(nowNanos);
  }

  private int getInFlight(InstanceId target) {
    Use use = uses.get(target);
    return use == null ? 0 : use.inFlight;
  }
}
