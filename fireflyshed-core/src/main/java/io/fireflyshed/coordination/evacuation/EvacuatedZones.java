package io.fireflyshed.coordination.evacuation;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.traffic.EvacuationChanges;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Keeps which availability zones the operator evacuates. The targets of such a zone get no requests
 * and no orders; what runs there may end.
 *
 * <p>A zone counts as evacuated until a read shows that the evacuation was taken back, also while
 * the source can't be read. Changes are made on one thread; the getters may be called on any
 * thread.
 */
public final class EvacuatedZones {

  private volatile Set<AvailabilityZone> current = Set.of();
  private volatile Map<AvailabilityZone, Long> endNanos = Map.of();

  /**
   * Applies what a read showed.
   *
   * @param changes the changes, not null
   * @param nowNanos the current time of the monotonic clock
   * @return whether the evacuated zones changed
   */
  public boolean apply(EvacuationChanges changes, long nowNanos) {
    Objects.requireNonNull(changes, "changes");
    Set<AvailabilityZone> next = changes.isWhole() ? new HashSet<>() : new HashSet<>(current);
    next.addAll(changes.begun());
    next.removeAll(changes.ended());
    if (next.equals(current)) {
      return false;
    }
    Map<AvailabilityZone, Long> ends = new HashMap<>(endNanos);
    current.stream().filter(zone -> !next.contains(zone)).forEach(z -> ends.put(z, nowNanos));
    ends.keySet().removeAll(next);
    endNanos = Map.copyOf(ends);
    current = Set.copyOf(next);
    return true;
  }

  /**
   * Tests whether a zone is evacuated.
   *
   * @param zone the zone, not null
   * @return true if its targets must get no requests
   */
  public boolean contains(AvailabilityZone zone) {
    return current.contains(zone);
  }

  /**
   * Gets the evacuated zones.
   *
   * @return the zones, immutable, never null
   */
  public Set<AvailabilityZone> get() {
    return current;
  }

  /**
   * Gets the time at which the last evacuation of a zone was seen to have ended.
   *
   * @param zone the zone, not null
   * @return a reading of the monotonic clock, empty if the zone is evacuated or never was
   */
  public OptionalLong getEndNanos(AvailabilityZone zone) {
    Long nanos = endNanos.get(zone);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }
}
