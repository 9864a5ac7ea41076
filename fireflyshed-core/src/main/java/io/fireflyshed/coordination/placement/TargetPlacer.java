package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target that is expected to start a request first, or refuses the request at once.
 *
 * <p>The load of a target is the one that its last answer reported, corrected by this entry's own
 * requests since then. Targets that are silent or couldn't be reached are left out until they
 * respond again or a time has passed. Targets whose attempts often fail get few requests until they
 * recover. A request is refused when every target is so full that it would wait long, since a
 * caller that is told when to retry is served better than one that waits and is refused in the end.
 * A target that limits the requests of all entries together gets requests only when it is this
 * entry's turn. Thread safe.
 */
public final class TargetPlacer {

  /**
   * A target counts as more loaded if it is slower than the fastest one by more than this factor.
   */
  private static final double SLOWNESS_TOLERANCE = 1.3;

  private final PlacementSettings settings;
  private final AvailabilityZone zone;
  private final UniformRandomProvider random;
  private final RequestLimits limits;
  private final DemandMeter demands = new DemandMeter();
  private final TargetCosts costs;
  private final TargetLoads loads;
  private final PlacementRefusals refusals = new PlacementRefusals();

  /**
   * Creates a placer.
   *
   * @param settings the limits, not null
   * @param zone the availability zone of this entry, not null
   * @param random breaks ties between targets of equal cost, not null
   * @param schedule tells when this entry may use targets that limit their requests, not null
   */
  public TargetPlacer(
      PlacementSettings settings,
      AvailabilityZone zone,
      UniformRandomProvider random,
      EntrySchedule schedule) {
    this(settings, zone, random, schedule, new RequestCountCosts(settings.zonePenalty()));
  }

  /**
   * Creates a placer that compares targets in a given way.
   *
   * @param settings the limits, not null
   * @param zone the availability zone of this entry, not null
   * @param random breaks ties between targets of equal cost, not null
   * @param schedule tells when this entry may use targets that limit their requests, not null
   * @param costs rates the targets, not null
   */
  public TargetPlacer(
      PlacementSettings settings,
      AvailabilityZone zone,
      UniformRandomProvider random,
      EntrySchedule schedule,
      TargetCosts costs) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.random = Objects.requireNonNull(random, "random");
    this.limits = new RequestLimits(schedule);
    this.costs = Objects.requireNonNull(costs, "costs");
    this.loads = new TargetLoads(costs);
  }

  /**
   * Places a request.
   *
   * @param request the request, not null
   * @param candidates the targets that could run the request, not null
   * @param excluded the targets that were tried before, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the decision, never null
   */
  public synchronized Placement place(
      RequestDescriptor request, List<Target> candidates, Set<InstanceId> excluded, long nowNanos) {
    return place(request, candidates, excluded, false, nowNanos);
  }

  /**
   * Places a request that may also stay at its silent target. A refusal takes no turn among the
   * callers that are told when to retry, as such a request is placed again and again.
   *
   * @param request the request, not null
   * @param candidates the targets that could run the request, not null
   * @param excluded the targets that were tried before, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the decision, never null
   */
  public synchronized Placement placeRunning(
      RequestDescriptor request, List<Target> candidates, Set<InstanceId> excluded, long nowNanos) {
    return place(request, candidates, excluded, true, nowNanos);
  }

  private Placement place(
      RequestDescriptor request,
      List<Target> candidates,
      Set<InstanceId> excluded,
      boolean isRunning,
      long nowNanos) {
    List<Target> usable =
        candidates.stream()
            .filter(c -> !getLoad(c.id()).isSuspect(nowNanos) && !excluded.contains(c.id()))
            .toList();
    if (usable.isEmpty()) {
      return PlacementRefusals.refuseUnusable(
          candidates.stream()
              .map(c -> getLoad(c.id()))
              .filter(load -> load.isSuspect(nowNanos))
              .mapToLong(load -> load.getSuspectNanos(nowNanos))
              .min());
    }
    double fastest =
        usable.stream().mapToDouble(this::getMeanEventInterval).filter(g -> g > 0).min().orElse(0);
    long ageNanos = nowNanos - loads.getFleetNanos();
    boolean isFleetKnown = loads.isFleetKnown(nowNanos);
    TargetCosts.Rater rater = costs.newRater(request, nowNanos);
    List<LevelFiller.Option<Target>> options = new ArrayList<>();
    // What was tried before is late already and loses its progress if it is refused.
    boolean isFirst = !isRunning && excluded.isEmpty();
    boolean isAnyLate = false;
    double othersRate = 0;
    long limitWaitNanos = Long.MAX_VALUE;
    for (Target candidate : usable) {
      TargetLoad load = getLoad(candidate.id());
      int requests = getRequests(load, isFleetKnown);
      othersRate += load.getOthersRate();
      if (requests >= getCapacity(candidate, load, request.isModelPool())) {
        continue;
      }
      long targetWaitNanos = limits.getWaitNanos(candidate);
      limitWaitNanos = Math.min(limitWaitNanos, targetWaitNanos);
      if (targetWaitNanos > 0) {
        continue;
      }
      TargetState state =
          load.getState(
              requests,
              load.getSlots(candidate.slots()),
              fastest * SLOWNESS_TOLERANCE,
              !candidate.zone().equals(zone),
              isFleetKnown ? ageNanos : Long.MAX_VALUE,
              nowNanos);
      TargetRating rating = rater.rate(candidate, state);
      if (isFirst && rating.isLate()) {
        isAnyLate = true;
        continue;
      }
      options.add(new LevelFiller.Option<>(candidate, rating.cost(), rating.costOfRequest()));
    }
    if (options.isEmpty()) {
      return isAnyLate
          ? refusals.refuseLate(request.pool(), nowNanos)
          : refusals.refuseFull(request.pool(), isRunning, limitWaitNanos, nowNanos);
    }
    // The starts of other entries since they told their load.
    double unseenStarts = isFleetKnown ? costs.countUnseenStarts(request, othersRate, ageNanos) : 0;
    return new Placement.Send(limits.use(LevelFiller.choose(options, unseenStarts, random)));
  }

  /**
   * Tests whether a request could be placed now. It doesn't reserve anything.
   *
   * @param candidates the targets that could run the request, not null
   * @param isModelPool whether the targets are replicas of a model, which queue requests themselves
   * @param nowNanos the current time of the monotonic clock
   * @return true if a target can be reached and has capacity and no request limit prevents its use
   */
  public synchronized boolean isPlaceable(
      List<Target> candidates, boolean isModelPool, long nowNanos) {
    return candidates.stream().anyMatch(c -> isPlaceable(c, isModelPool, nowNanos));
  }

  /**
   * Measures the room of reachable targets, by the load that all entries told or, where this one
   * heard nothing lately, by the responses of the targets.
   *
   * @param candidates the targets, not null
   * @param isModelPool whether the targets are replicas of a model
   * @param nowNanos the current time of the monotonic clock
   * @return the room, never null
   */
  public synchronized PoolRoom measureRoom(
      List<Target> candidates, boolean isModelPool, long nowNanos) {
    boolean isFleetKnown = loads.isFleetKnown(nowNanos);
    int slots = 0;
    int capacity = 0;
    int used = 0;
    for (Target candidate : candidates) {
      TargetLoad load = getLoad(candidate.id());
      if (!load.isSuspect(nowNanos)) {
        slots += load.getSlots(candidate.slots());
        capacity += getCapacity(candidate, load, isModelPool);
        used += getRequests(load, isFleetKnown);
      }
    }
    return new PoolRoom(slots, capacity, used);
  }

  private boolean isPlaceable(Target candidate, boolean isModelPool, long nowNanos) {
    TargetLoad load = getLoad(candidate.id());
    return !load.isSuspect(nowNanos)
        && load.getRequests() < getCapacity(candidate, load, isModelPool)
        && limits.getWaitNanos(candidate) <= 0;
  }

  private int getRequests(TargetLoad load, boolean isFleetKnown) {
    return isFleetKnown ? load.getFleetRequests(loads.getFleetNanos()) : load.getRequests();
  }

  private int getCapacity(Target target, TargetLoad load, boolean isModelPool) {
    return settings.getCapacity(load.getSlots(target.slots()), isModelPool);
  }

  private double getMeanEventInterval(Target target) {
    return getLoad(target.id()).getMeanEventIntervalMillis();
  }

  /**
   * Gets what counts the requests of callers by pool and rank, to tell other entries.
   *
   * @return the meter, never null
   */
  public DemandMeter getDemands() {
    return demands;
  }

  /**
   * Gets what rates the targets and follows the attempts at them.
   *
   * @return the costs, never null
   */
  public TargetCosts getCosts() {
    return costs;
  }

  /**
   * Records that a request was sent.
   *
   * @param target the target, not null
   */
  public synchronized void onStart(InstanceId target) {
    getLoad(target).onStart();
    limits.onSent(target);
  }

  /**
   * Records that a request ended, with or without success.
   *
   * @param pool the pool of the target, not null
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onEnd(String pool, InstanceId target, long nowNanos) {
    getLoad(target).onEnd();
    refusals.onEnd(pool, nowNanos);
  }

  /**
   * Records the load that a target reported in an answer.
   *
   * @param target the target, not null
   * @param requests the running and waiting requests, including the answered one
   * @param slots the most requests that the target runs at the same time
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onLoad(InstanceId target, int requests, int slots, long nowNanos) {
    getLoad(target).onLoad(requests, slots, nowNanos);
  }

  /**
   * Returns the load that this entry puts on targets, to tell other entries.
   *
   * @param silent the targets whose streams of this entry had no event for a moment, not null
   * @param responsive the targets whose streams of this entry had one, not null
   * @param nowNanos the current time of the monotonic clock
   * @return the load, with the rates since the last call, never null
   */
  public synchronized FleetLoad takeOwnLoad(
      Set<InstanceId> silent, Set<InstanceId> responsive, long nowNanos) {
    double seconds = loads.takeSeconds(nowNanos);
    Map<InstanceId, FleetLoad.TargetRequests> own = loads.takeOwn(seconds, silent, responsive);
    return new FleetLoad(own, 1, demands.take(seconds));
  }

  /**
   * Records the load that all entries put on targets.
   *
   * @param total the load of all entries, not null
   * @param own the part of this entry that the total contains, not null
   * @param toldNanos the time of the load as a reading of the monotonic clock
   */
  public synchronized void onFleetLoad(FleetLoad total, FleetLoad own, long toldNanos) {
    loads.setFleet(total, own, toldNanos);
    demands.onFleetLoad(total, toldNanos);
  }

  /**
   * Records the limit that a target named in a response.
   *
   * @param target the target, not null
   * @param limit the requests per second that the target takes from all entries together, empty for
   *     no limit, not null
   * @return whether the limit differs from the one known before
   */
  public synchronized boolean onRequestLimit(InstanceId target, OptionalDouble limit) {
    return limits.onLimit(target, limit);
  }

  /**
   * Gets the limit that a target named last.
   *
   * @param target the target, not null
   * @return the requests per second that the target takes, empty without a limit, never null
   */
  public synchronized OptionalDouble getRequestLimit(InstanceId target) {
    return limits.get(target);
  }

  /**
   * Counts the targets that limit their requests.
   *
   * @return the number of targets
   */
  public synchronized long countLimitedTargets() {
    return limits.count();
  }

  /**
   * Records an event of a stream, which shows that the target is not stalled.
   *
   * @param target the target, not null
   * @param interval the time since the stream's event before, not null
   */
  public synchronized void onProgress(InstanceId target, Duration interval) {
    getLoad(target).onProgress(interval.toNanos());
  }

  /**
   * Records that a target sent something, which shows that it is not stalled.
   *
   * @param target the target, not null
   */
  public synchronized void onSignOfLife(InstanceId target) {
    getLoad(target).endSuspicion();
  }

  /**
   * Records that a target is silent, so that it gets no requests until its next event or until it
   * was no longer found silent for a while.
   *
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onSilent(InstanceId target, long nowNanos) {
    limits.onContactLost(target);
    getLoad(target).suspectAtLeastUntil(nowNanos + settings.silenceHold().toNanos(), nowNanos);
  }

  /**
   * Marks a stalled target as suspect, so that it gets no requests for a while.
   *
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void suspect(InstanceId target, long nowNanos) {
    limits.onContactLost(target);
    getLoad(target).suspectUntil(nowNanos + settings.suspectTime().toNanos());
  }

  /**
   * Records that no connection to a target could be established.
   *
   * @param target the target, not null
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onUnreachable(InstanceId target, long nowNanos) {
    limits.onContactLost(target);
    getLoad(target)
        .onUnreachable(nowNanos, settings.initialUnreachableTime(), settings.suspectTime());
  }

  /**
   * Forgets the failures of targets that were caused by this entry's own connection to them.
   *
   * @param targets the targets, not null
   */
  public synchronized void forgetFailures(Set<InstanceId> targets) {
    loads.forgetFailures(targets);
  }

  /**
   * Records the result of an attempt that the target may have run.
   *
   * @param target the target, not null
   * @param isSuccess whether the answer was complete and successful
   * @param nowNanos the current time of the monotonic clock
   */
  public synchronized void onResult(InstanceId target, boolean isSuccess, long nowNanos) {
    getLoad(target).onResult(isSuccess, nowNanos);
  }

  /**
   * Removes the state of targets that no longer exist and have no requests in flight. Their request
   * limits are kept for a while, since a target may be unlisted for a moment only.
   *
   * @param listed the targets that still exist, not null
   */
  public synchronized void retain(Set<InstanceId> listed) {
    loads.retain(listed);
    limits.retain(listed);
  }

  /**
   * Resets the state of a target that restarted, except for its request limit, which holds until a
   * response says otherwise.
   *
   * @param target the target, not null
   */
  public synchronized void reset(InstanceId target) {
    loads.reset(target);
  }

  private TargetLoad getLoad(InstanceId target) {
    return loads.get(target);
  }
}
