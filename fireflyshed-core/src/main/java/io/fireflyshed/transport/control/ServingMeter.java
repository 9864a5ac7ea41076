package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.AssignmentState;
import io.fireflyshed.coordination.assignment.ClusterState;
import io.fireflyshed.coordination.assignment.InstanceState;
import io.fireflyshed.coordination.assignment.InstanceStatus;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Measures the group downtime and the stranded accelerators of an availability zone. Group downtime
 * is the time for which wanted replicas do not serve; a stranded accelerator belongs to an instance
 * that is not a member of a serving replica. Only the coordinator measures, so sums over all
 * processes count nothing twice; time without a coordinator is not counted.
 *
 * <p>States are recorded by the control thread; {@link #register} and the getters are thread safe.
 */
public final class ServingMeter {

  /** The reasons why an accelerator is stranded. */
  public enum StrandedCause {
    /** The instance is healthy and in no replica. */
    SPARE,
    /** The replica of the instance does not serve, but none of its members has failed. */
    LOADING,
    /** A member of the replica of the instance has failed. */
    BROKEN,
    /** The replica of the instance is dissolving. */
    DISSOLVING,
    /** The instance is leaving. */
    LEAVING,
    /** The instance is in no replica, and is failed, suspect, unstable or in quarantine. */
    UNFIT
  }

  private static final double NANOS_PER_SECOND = 1e9;

  private final ConcurrentMap<ServiceName, Double> downtimeSeconds = new ConcurrentHashMap<>();
  private final ConcurrentMap<StrandedCause, Double> strandedSeconds = new ConcurrentHashMap<>();
  private final ConcurrentMap<StrandedCause, Integer> stranded = new ConcurrentHashMap<>();
  private boolean isMeasuring;
  private long lastRecordedNanos;
  private volatile MeterRegistry registry;
  private volatile String zone = "";

  /**
   * Registers the metrics of the zone. The group downtime of a service is registered when the
   * service is first measured.
   *
   * @param meters the registry, not null
   * @param zoneName the name of the availability zone, used as a tag, not null
   */
  public void register(MeterRegistry meters, String zoneName) {
    zone = zoneName;
    registry = meters;
    for (StrandedCause cause : StrandedCause.values()) {
      String causeTag = cause.name().toLowerCase(Locale.ROOT);
      Gauge.builder("fireflyshed.stranded.accelerators", () -> getStranded(cause))
          .tags("zone", zoneName, "cause", causeTag)
          .register(meters);
      FunctionCounter.builder(
              "fireflyshed.stranded.accelerator.seconds", this, m -> m.getStrandedSeconds(cause))
          .tags("zone", zoneName, "cause", causeTag)
          .register(meters);
    }
  }

  /**
   * Returns the number of accelerators that are stranded now.
   *
   * @param cause the cause, not null
   * @return the number, 0 if this process is not the coordinator
   */
  public int getStranded(StrandedCause cause) {
    return stranded.getOrDefault(cause, 0);
  }

  /**
   * Returns the time for which accelerators have been stranded.
   *
   * @param cause the cause, not null
   * @return the time in accelerator-seconds
   */
  public double getStrandedSeconds(StrandedCause cause) {
    return strandedSeconds.getOrDefault(cause, 0.0);
  }

  /**
   * Returns the group downtime of a service, summed over its wanted replicas.
   *
   * @param service the service, not null
   * @return the downtime in seconds
   */
  public double getDowntimeSeconds(ServiceName service) {
    return downtimeSeconds.getOrDefault(service, 0.0);
  }

  /**
   * Stops measuring until the next state is recorded, because this process does not coordinate the
   * zone.
   */
  void suspend() {
    isMeasuring = false;
    stranded.clear();
  }

  /** Records the state of the zone, which is assumed to have lasted since the previous call. */
  void recordState(ClusterState state, Set<ReplicaId> serving) {
    double seconds = isMeasuring ? (state.nowNanos() - lastRecordedNanos) / NANOS_PER_SECOND : 0;
    isMeasuring = true;
    lastRecordedNanos = state.nowNanos();
    addDowntime(state, serving, seconds);
    Map<StrandedCause, Integer> counts = countStranded(state, serving);
    for (StrandedCause cause : StrandedCause.values()) {
      int count = counts.getOrDefault(cause, 0);
      stranded.put(cause, count);
      strandedSeconds.merge(cause, count * seconds, Double::sum);
    }
  }

  private void addDowntime(ClusterState state, Set<ReplicaId> serving, double seconds) {
    Map<ServiceName, Integer> servingCounts = new HashMap<>();
    for (AssignmentState assignment : state.assignments()) {
      if (serving.contains(assignment.assignment().id())) {
        servingCounts.merge(assignment.assignment().service(), 1, Integer::sum);
      }
    }
    for (ModelServiceSpec spec : state.services()) {
      int missing = Math.max(0, spec.replicas() - servingCounts.getOrDefault(spec.name(), 0));
      if (downtimeSeconds.put(spec.name(), getDowntimeSeconds(spec.name()) + missing * seconds)
          == null) {
        registerDowntime(spec.name());
      }
    }
  }

  private void registerDowntime(ServiceName service) {
    if (registry != null) {
      FunctionCounter.builder(
              "fireflyshed.group.downtime", this, m -> m.getDowntimeSeconds(service))
          .baseUnit("seconds")
          .tags("zone", zone, "service", service.value())
          .register(registry);
    }
  }

  private static Map<StrandedCause, Integer> countStranded(
      ClusterState state, Set<ReplicaId> serving) {
    Map<InstanceId, AssignmentState> holders = new HashMap<>();
    for (AssignmentState assignment : state.assignments()) {
      if (assignment.isHolding()) {
        assignment.assignment().members().forEach(m -> holders.put(m.id(), assignment));
      }
    }
    Map<InstanceId, InstanceStatus> statuses = new HashMap<>();
    state.instances().forEach(i -> statuses.put(i.instance().id(), i.status()));
    Map<StrandedCause, Integer> counts = new EnumMap<>(StrandedCause.class);
    for (InstanceState instance : state.instances()) {
      AssignmentState holder = holders.get(instance.instance().id());
      if (holder == null || !serving.contains(holder.assignment().id())) {
        StrandedCause cause = toCause(instance, holder, statuses);
        counts.merge(cause, instance.instance().accelerators(), Integer::sum);
      }
    }
    return counts;
  }

  private static StrandedCause toCause(
      InstanceState instance, AssignmentState holder, Map<InstanceId, InstanceStatus> statuses) {
    if (instance.status() == InstanceStatus.LEAVING) {
      return StrandedCause.LEAVING;
    }
    if (holder == null) {
      return instance.isFree() ? StrandedCause.SPARE : StrandedCause.UNFIT;
    }
    if (holder.phase() == AssignmentPhase.DISSOLVING) {
      return StrandedCause.DISSOLVING;
    }
    boolean hasFailedMember =
        holder.assignment().members().stream()
            .anyMatch(m -> statuses.get(m.id()) == InstanceStatus.FAILED);
    return hasFailedMember ? StrandedCause.BROKEN : StrandedCause.LOADING;
  }
}
