package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

/** Holds the load of each target and what other entries told of theirs. Not thread safe. */
final class TargetLoads {

  private final TargetCosts costs;
  private final Map<InstanceId, TargetLoad> loads = new HashMap<>();
  private boolean isFleetTold;
  private long fleetNanos;
  private long ownLoadNanos;

  /**
   * Creates a collection without loads.
   *
   * @param costs tells the work of this entry's requests, not null
   */
  TargetLoads(TargetCosts costs) {
    this.costs = costs;
  }

  TargetLoad get(InstanceId target) {
    return loads.computeIfAbsent(target, t -> new TargetLoad());
  }

  /** Tests whether other entries told their load a short time ago. */
  boolean isFleetKnown(long nowNanos) {
    return isFleetTold && nowNanos - fleetNanos < costs.getMaxFleetLoadAge().toNanos();
  }

  /** Returns the time of the load that other entries told last. */
  long getFleetNanos() {
    return fleetNanos;
  }

  /** Returns the load of this entry, with the rates since the last call. */
  Map<InstanceId, FleetLoad.TargetRequests> takeOwn(
      double seconds, Set<InstanceId> silent, Set<InstanceId> responsive) {
    Map<InstanceId, FleetLoad.TargetRequests> own = new HashMap<>();
    loads.forEach(
        (target, load) -> {
          FleetLoad.TargetRequests requests =
              load.takeOwnLoad(seconds, silent.contains(target), responsive.contains(target));
          if (!requests.equals(FleetLoad.TargetRequests.NONE)) {
            OptionalDouble work = costs.getOwnWorkMillis(target);
            own.put(target, work.isPresent() ? requests.withWork(work) : requests);
          }
        });
    return own;
  }

  /** Returns the seconds since the last call, 0 at the first one. */
  double takeSeconds(long nowNanos) {
    double seconds = ownLoadNanos == 0 ? 0 : (nowNanos - ownLoadNanos) / 1e9;
    ownLoadNanos = nowNanos;
    return seconds;
  }

  void setFleet(FleetLoad total, FleetLoad own, long toldNanos) {
    isFleetTold = true;
    fleetNanos = toldNanos;
    Map<InstanceId, FleetLoad.TargetRequests> others = total.minus(own).loads();
    others.keySet().forEach(this::get);
    loads.forEach((target, load) -> load.setOthersLoad(others.get(target)));
  }

  void forgetFailures(Set<InstanceId> targets) {
    targets.stream().map(loads::get).filter(Objects::nonNull).forEach(TargetLoad::forgetFailures);
  }

  /** Removes the targets that no longer exist and have no requests in flight. */
  void retain(Set<InstanceId> listed) {
    loads.entrySet().removeIf(e -> e.getValue().getInFlight() == 0 && !listed.contains(e.getKey()));
    costs.retain(listed);
  }

  /** Resets a target that restarted. */
  void reset(InstanceId target) {
    TargetLoad load = loads.get(target);
    if (load != null && load.getInFlight() == 0) {
      loads.remove(target);
    } else if (load != null) {
      load.forgetFailures();
    }
    costs.reset(target);
  }
}
