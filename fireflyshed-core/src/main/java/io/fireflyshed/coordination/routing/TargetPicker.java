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
 * Sorts the targets of a plain service: targets without a recent failure first, then targets in the
 * same availability zone, then targets with the fewest calls in flight.
 *
 * <p>If a call may be repeated, the caller tries the targets in this order; otherwise it calls only
 * the first. Thread safe.
 *
 * <pre>{@code
 * TargetPicker picker = new TargetPicker(zone);
 * InstanceRecord target = picker.sort(targets, clock.nanoTime()).get(0);
 * picker.onStart(target.id());
 * picker.onEnd(target.id(), true, clock.nanoTime());
 * }</pre>
 */
public final class TargetPicker {

  private static final long FAILURE_RETENTION_NANOS = Duration.ofSeconds(5).toNanos();

  /** The calls to one target. */
  private static final class TargetUsage {

    private int inFlight;
    private boolean hasLastCallFailed;
    private long lastEndNanos;

    boolean hasRecentFailure(long nowNanos) {
      return hasLastCallFailed && nowNanos - lastEndNanos < FAILURE_RETENTION_NANOS;
    }
  }

  private final AvailabilityZone zone;
  private final Map<InstanceId, TargetUsage> usages = new HashMap<>();

  /**
   * Creates a picker without information about targets.
   *
   * @param zone the availability zone of this process, not null
   */
  public TargetPicker(AvailabilityZone zone) {
    this.zone = Objects.requireNonNull(zone, "zone");
  }

  /**
   * Sorts targets in descending order of preference.
   *
   * @param targets the targets, not null
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   * @return a new list, never null
   */
  public synchronized List<InstanceRecord> sort(Collection<InstanceRecord> targets, long nowNanos) {
    return targets.stream()
        .sorted(
            Comparator.<InstanceRecord, Boolean>comparing(t -> hasRecentFailure(t.id(), nowNanos))
                .thenComparing(t -> !t.zone().equals(zone))
                .thenComparing(t -> getInFlight(t.id()))
                .thenComparing(InstanceRecord::id))
        .toList();
  }

  /**
   * Records the start of a call.
   *
   * @param target the target, not null
   */
  public synchronized void onStart(InstanceId target) {
    usages.computeIfAbsent(target, t -> new TargetUsage()).inFlight++;
  }

  /**
   * Records the end of a call.
   *
   * @param target the target, not null
   * @param hasAnswered true if the target answered, false if the call failed
   * @param nowNanos the current reading of the monotonic clock, in nanoseconds
   */
  public synchronized void onEnd(InstanceId target, boolean hasAnswered, long nowNanos) {
    TargetUsage usage = usages.computeIfAbsent(target, t -> new TargetUsage());
    usage.inFlight = Math.max(0, usage.inFlight - 1);
    usage.hasLastCallFailed = !hasAnswered;
    usage.lastEndNanos = nowNanos;
  }

  /**
   * Removes the information about all targets that are not in a set.
   *
   * @param targets the targets to keep, not null
   */
  public synchronized void retain(Set<InstanceId> targets) {
    usages.keySet().retainAll(targets);
  }

  private boolean hasRecentFailure(InstanceId target, long nowNanos) {
    TargetUsage usage = usages.get(target);
    return usage != null && usage.hasRecentFailure(nowNanos);
  }

  private int getInFlight(InstanceId target) {
    TargetUsage usage = usages.get(target);
    return usage == null ? 0 : usage.inFlight;
  }
}
