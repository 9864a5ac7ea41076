package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends each request to the target that is expected to begin it first, or refuses it at once.
 *
 * <p>A target's load is what its last answer told, corrected by this entry's own requests since.
 * Targets that stood still or can't be reached are left out until they are heard of again or a time
 * has passed, and those whose attempts often fail get few requests until they recover. A request is
 * refused when every target is so full that it would wait long, since a caller that is told when to
 * come back is served better than one that waits and is refused then. Thread safe.
 */
public final class TargetPlacer {

  /** The targets may be this much slower than the fastest before they count as more loaded. */
  private static final double SLOWNESS_TOLERANCE = 1.3;

  /** What a target whose attempts all fail counts as loaded for more, as a part of its slots. */
  private static final double FAILURE_PENALTY = 2;

  /** The time to come back if no target serves: about that in which a replica is repaired. */
  private static final Duration NO_TARGET_WAIT = Duration.ofMillis(2000);

  private final PlacementSettings settings;
  private final AvailabilityZone zone;
  private final UniformRandomProvider random;
  private final Map<InstanceId, TargetLoad> loads = new HashMap<>();
  private final Map<String, ReturnSchedule> returns = new HashMap<>();

  /**
   * Creates a placer.
   *
   * @param settings the limits, not null
   * @param zone the availability zone of this entry, not null
   * @param random breaks ties, not null
   */
  public TargetPlacer(
      PlacementSettings settings, AvailabilityZone zone, UniformRandomProvider random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Places a request.
   *
   * @param pool names the targets that can replace each other, such as a model, not null
   * @param candidates the targets that could run the request, not null
   * @param excluded the targets that were tried before, not null
   * @param isQueueing whether the targets are replicas of a model with a queue of their own
   * @param nowNanos the reading of the monotonic clock
   * @return the decision, never null
   */
  public synchronized Placement place(
      String pool,
      List<Target> candidates,
      Set<InstanceId> excluded,
      boolean isQueueing,
      long nowNanos) {
    List<Target> usable = new ArrayList<>();
    long wait = NO_TARGET_WAIT.toNanos();
    for (Target candidate : candidates) {
      TargetLoad load = getLoad(candidate.id());
      if (load.isSuspect(nowNanos)) {
        wait = Math.min(wait, load.getSuspectNanos(nowNanos));
      } else if (!excluded.contains(candidate.id())) {
        usable.add(candidate);
      }
    }
    if (usable.isEmpty()) {
      Duration retryAfter = Duration.ofNanos(Math.max(wait, ReturnSchedule.MIN_WAIT.toNanos()));
      return new Placement.Refuse("no target serves", retryAfter);
    }
    double fastest = usable.stream().mapToDouble(this::getGap).filter(g -> g > 0).min().orElse(0);
    Target best = null;
    double bestCost = Double.MAX_VALUE;
    for (Target candidate : usable) {
      TargetLoad load = getLoad(candidate.id());
      if (load.getRequests() >= getCapacity(candidate, load, isQueueing)) {
        continue;
      }
      double cost = getCost(candidate, load, fastest, nowNanos) + random.nextDouble() * 1e-3;
      if (cost < bestCost) {
        bestCost = cost;
        best = candidate;
      }
    }
    if (best == null) {
      return new Placement.Refuse("all targets are full", getReturns(pool).next(nowNanos));
    }
    return new Placement.Send(best);
  }

  private int getCapacity(Target target, TargetLoad load, boolean isQueueing) {
    int slots = load.getSlots(target.slots());
    return isQueueing
        ? slots + settings.queueAllowance()
        : slots * (1 + settings.plainQueueAllowance());
  }

  private double getCost(Target target, TargetLoad load, double fastest, long nowNanos) {
    double slowness = fastest > 0 ? getGap(target) / (fastest * SLOWNESS_TOLERANCE) : 1;
    double part = (load.getRequests() + 1.0) / load.getSlots(target.slots());
    double penalty = target.zone().equals(zone) ? 0 : settings.zonePenalty();
    double failures = FAILURE_PENALTY * load.getFailureRate(nowNanos);
    return part * Math.max(1, slowness) + penalty + failures;
  }

  private double getGap(Target target) {
    return getLoad(target.id()).getGapMillis();
  }

  /**
   * Takes in that a request was sent.
   *
   * @param target the target, not null
   */
  public synchronized void onStart(InstanceId target) {
    getLoad(target).onStart();
  }

  /**
   * Takes in that a request ended, in whatever way.
   *
   * @param pool the pool of the target, not null
   * @param target the target, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void onEnd(String pool, InstanceId target, long nowNanos) {
    getLoad(target).onEnd();
    getReturns(pool).onEnd(nowNanos);
  }

  /**
   * Takes in the load that a target told.
   *
   * @param target the target, not null
   * @param requests the running and waiting requests, the told one included
   * @param slots the requests that the target runs at once
   */
  public synchronized void onLoad(InstanceId target, int requests, int slots) {
    getLoad(target).onReport(requests, slots);
  }

  /**
   * Takes in that a stream of a target went on.
   *
   * @param target the target, not null
   * @param gap the time since the event before, not null
   */
  public synchronized void onProgress(InstanceId target, Duration gap) {
    getLoad(target).onProgress(gap.toNanos());
  }

  /**
   * Leaves a target out for a while.
   *
   * @param target the target, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void suspect(InstanceId target, long nowNanos) {
    getLoad(target).suspectUntil(nowNanos + settings.suspicion().toNanos());
  }

  /**
   * Takes in that no connection to a target came about.
   *
   * @param target the target, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void onUnreachable(InstanceId target, long nowNanos) {
    getLoad(target).onUnreachable(nowNanos, settings.unreachable(), settings.suspicion());
  }

  /**
   * Takes in how an attempt ended that the target may have run.
   *
   * @param target the target, not null
   * @param isSuccess whether its answer was whole and no failure
   * @param nowNanos the reading of the monotonic clock
   */
  public synchronized void onResult(InstanceId target, boolean isSuccess, long nowNanos) {
    getLoad(target).onResult(isSuccess, nowNanos);
  }

  /**
   * Forgets targets that are gone.
   *
   * @param listed the targets that still exist, not null
   */
  public synchronized void retain(Set<InstanceId> listed) {
    loads.entrySet().removeIf(e -> e.getValue().getInFlight() == 0 && !listed.contains(e.getKey()));
  }

  /**
   * Forgets what is known of a target that begins a new life.
   *
   * @param target the target, not null
   */
  public synchronized void reset(InstanceId target) {
    TargetLoad load = loads.get(target);
    if (load != null && load.getInFlight() == 0) {
      loads.remove(target);
    } else if (load != null) {
      load.forgetFailures();
    }
  }

  private TargetLoad getLoad(InstanceId target) {
    return loads.computeIfAbsent(target, t -> new TargetLoad());
  }

  private ReturnSchedule getReturns(String pool) {
    return returns.computeIfAbsent(pool, p -> new ReturnSchedule());
  }
}
