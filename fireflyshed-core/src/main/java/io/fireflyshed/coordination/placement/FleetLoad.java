package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.instance.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Holds the load that entries put on targets, as they told each other.
 *
 * @param loads the load by target, copied, not null; targets without requests may be left out
 * @param entries the number of entries whose loads are included, 0 or more
 * @param demands what the callers of these entries want of the pools, copied, not null; entries of
 *     earlier versions tell none
 */
public record FleetLoad(
    Map<InstanceId, TargetRequests> loads, int entries, Map<PoolDemand.Key, PoolDemand> demands) {

  /** The load of no entry. */
  public static final FleetLoad NONE = new FleetLoad(Map.of(), 0, Map.of());

  /**
   * Holds the requests of some entries at one target.
   *
   * @param inFlight the requests in flight
   * @param startsPerSecond the rate at which requests were started lately
   * @param silentEntries the number of entries whose streams had no event for a moment
   * @param responsiveEntries the number of entries whose streams had one
   * @param workMillis the time for which these requests will still keep the target busy, in
   *     milliseconds, empty if no entry told it, not null
   */
  public record TargetRequests(
      int inFlight,
      double startsPerSecond,
      int silentEntries,
      int responsiveEntries,
      OptionalDouble workMillis) {

    /** The requests of no entry. */
    static final TargetRequests NONE = new TargetRequests(0, 0, 0, 0);

    /** Validates the components. */
    public TargetRequests {
      boolean isNegative = inFlight < 0 || silentEntries < 0 || responsiveEntries < 0;
      double work = workMillis.orElse(0);
      if (isNegative || !(startsPerSecond >= 0) || !(work >= 0) || Double.isInfinite(work)) {
        throw new IllegalArgumentException("negative or infinite load");
      }
    }

    /** Creates requests whose work isn't told. */
    public TargetRequests(
        int inFlight, double startsPerSecond, int silentEntries, int responsiveEntries) {
      this(inFlight, startsPerSecond, silentEntries, responsiveEntries, OptionalDouble.empty());
    }

    /** Returns these requests with their work. */
    TargetRequests withWork(OptionalDouble millis) {
      return new TargetRequests(
          inFlight, startsPerSecond, silentEntries, responsiveEntries, millis);
    }

    /** Returns the work, with the requests of entries that tell none at the mean of the others. */
    private OptionalDouble addWork(TargetRequests other) {
      if (workMillis.isPresent() && other.workMillis.isPresent()) {
        return OptionalDouble.of(workMillis.getAsDouble() + other.workMillis.getAsDouble());
      }
      TargetRequests told = workMillis.isPresent() ? this : other;
      return told.scaleWork(inFlight + other.inFlight);
    }

    private OptionalDouble subtractWork(TargetRequests other) {
      if (workMillis.isPresent() && other.workMillis.isPresent()) {
        return OptionalDouble.of(
            Math.max(0, workMillis.getAsDouble() - other.workMillis.getAsDouble()));
      }
      return scaleWork(Math.max(0, inFlight - other.inFlight));
    }

    /** Returns the work of another number of requests with the same mean. */
    private OptionalDouble scaleWork(int requests) {
      if (workMillis.isEmpty() || requests == inFlight) {
        return workMillis;
      }
      return inFlight == 0
          ? OptionalDouble.empty()
          : OptionalDouble.of(workMillis.getAsDouble() * requests / inFlight);
    }

    /** Tests whether entries wait for the target and none has heard of it for a moment. */
    private boolean isSilent() {
      return silentEntries > 0 && responsiveEntries == 0;
    }

    private TargetRequests plus(TargetRequests other) {
      return new TargetRequests(
          inFlight + other.inFlight,
          startsPerSecond + other.startsPerSecond,
          silentEntries + other.silentEntries,
          responsiveEntries + other.responsiveEntries,
          addWork(other));
    }

    private TargetRequests minus(TargetRequests other) {
      return new TargetRequests(
          Math.max(0, inFlight - other.inFlight),
          Math.max(0, startsPerSecond - other.startsPerSecond),
          Math.max(0, silentEntries - other.silentEntries),
          Math.max(0, responsiveEntries - other.responsiveEntries),
          subtractWork(other));
    }
  }

  /** Copies the map. */
  public FleetLoad {
    loads = Map.copyOf(Objects.requireNonNull(loads, "loads"));
    demands = Map.copyOf(Objects.requireNonNull(demands, "demands"));
  }

  /**
   * Creates a load without the demand of callers, as entries of earlier versions tell it.
   *
   * @param loads the load by target, copied, not null
   * @param entries the number of entries whose loads are included, 0 or more
   */
  public FleetLoad(Map<InstanceId, TargetRequests> loads, int entries) {
    this(loads, entries, Map.of());
  }

  /**
   * Adds the load of other entries.
   *
   * @param other the load, not null
   * @return the sum, never null
   */
  public FleetLoad plus(FleetLoad other) {
    Map<InstanceId, TargetRequests> sum = new HashMap<>(loads);
    other.loads.forEach((target, load) -> sum.merge(target, load, TargetRequests::plus));
    Map<PoolDemand.Key, PoolDemand> demandSum = new HashMap<>(demands);
    other.demands.forEach((key, demand) -> demandSum.merge(key, demand, PoolDemand::plus));
    return new FleetLoad(sum, entries + other.entries, demandSum);
  }

  /**
   * Subtracts the load of entries that are among those of this load.
   *
   * @param part the load, not null
   * @return the difference, in which nothing is negative, never null
   */
  public FleetLoad minus(FleetLoad part) {
    Map<InstanceId, TargetRequests> difference = new HashMap<>(loads);
    part.loads.forEach(
        (target, load) -> difference.computeIfPresent(target, (t, sum) -> sum.minus(load)));
    Map<PoolDemand.Key, PoolDemand> demandDifference = new HashMap<>(demands);
    part.demands.forEach(
        (key, demand) -> demandDifference.computeIfPresent(key, (k, sum) -> sum.minus(demand)));
    return new FleetLoad(difference, Math.max(0, entries - part.entries), demandDifference);
  }

  /**
   * Finds the targets that are silent towards all entries that wait for them.
   *
   * @return the targets, never null
   */
  public Set<InstanceId> findSilentTargets() {
    return loads.entrySet().stream()
        .filter(e -> e.getValue().isSilent())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}
