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
 * Measures group downtime and stranded accelerators of a zone. Only the coordinator measures, so
 * the sums over all processes count nothing twice; time without a coordinator is not counted.
 *
 * <p>The control thread writes; {@link #register} and the meters are thread safe.
 */
public final class ServingMeter {

  /** Names why accelerators are held without serving in a whole replica. */
  public enum StrandedCause {
    /** Free and healthy. */
    SPARE,
    /** In a replica whose members are all there but not all ready. */
    LOADING,
    /** In a replica that misses a member. */
    BROKEN,
    /** In a replica that dissolves. */
    DISSOLVING,
    /** Leaving. */
    LEAVING,
    /** Free, but failed, suspect, unstable or in quarantine. */
    UNFIT
  }

  private static final double NANOS_PER_SECOND = 1e9;

  private final ConcurrentMap<ServiceName, Double> downSeconds = new ConcurrentHashMap<>();
  private final ConcurrentMap<StrandedCause, Double> strandedSeconds = new ConcurrentHashMap<>();
  private final ConcurrentMap<StrandedCause, Integer> stranded = new ConcurrentHashMap<>();
  private boolean isRunning;
  private long lastNanos;
  private volatile MeterRegistry registry;
  private volatile String zone = "";

  /**
   * Adds the meters to a registry.
   *
   * @param meters the registry, not null
   * @param zoneName the availability zone, for the tag, not null
   */
  public void register(MeterRegistry meters, String zoneName) {
    zone = zoneName;
    registry = meters;
    for (StrandedCause cause : StrandedCause.values()) {
      String tag = cause.name().toLowerCase(Locale.ROOT);
      Gauge.builder("fireflyshed.stranded.accelerators", () -> getStranded(cause))
          .tags("zone", zoneName, "cause", tag)
          .register(meters);
      FunctionCounter.builder(
              "fireflyshed.stranded.accelerator.seconds", this, m -> m.getStrandedSeconds(cause))
          .tags("zone", zoneName, "cause", tag)
          .register(meters);
    }
  }

  /**
   * Gets the accelerators that are stranded now.
   *
   * @param cause the cause, not null
   * @return the count, 0 if this process is not the coordinator
   */
  public int getStranded(StrandedCause cause) {
    return stranded.getOrDefault(cause, 0);
  }

  /**
   * Gets the time for which accelerators were stranded.
   *
   * @param cause the cause, not null
   * @return accelerator-seconds
   */
  public double getStrandedSeconds(StrandedCause cause) {
    return strandedSeconds.getOrDefault(cause, 0.0);
  }

  /**
   * Gets the group downtime of a service, summed over its wanted replicas.
   *
   * @param service the service, not null
   * @return seconds
   */
  public double getDownSeconds(ServiceName service) {
    return downSeconds.getOrDefault(service, 0.0);
  }

  /** Takes in that this process does not coordinate the zone. */
  void onNoLease() {
    isRunning = false;
    stranded.clear();
  }

  /** Takes in the state of the zone, which is taken to have lasted since the last call. */
  void onState(ClusterState state, Set<ReplicaId> serving) {
    double seconds = isRunning ? (state.nowNanos() - lastNanos) / NANOS_PER_SECOND : 0;
    isRunning = true;
    lastNanos = state.nowNanos();
    addDown(state, serving, seconds);
    Map<StrandedCause, Integer> counts = count(state, serving);
    for (StrandedCause cause : StrandedCause.values()) {
      int count = counts.getOrDefault(cause, 0);
      stranded.put(cause, count);
      strandedSeconds.merge(cause, count * seconds, Double::sum);
    }
  }

  private void addDown(ClusterState state, Set<ReplicaId> serving, double seconds) {
    Map<ServiceName, Integer> open = new HashMap<>();
    for (AssignmentState assignment : state.assignments()) {
      if (serving.contains(assignment.assignment().id())) {
        open.merge(assignment.assignment().service(), 1, Integer::sum);
      }
    }
    for (ModelServiceSpec spec : state.services()) {
      int missing = Math.max(0, spec.replicas() - open.getOrDefault(spec.name(), 0));
      if (downSeconds.put(spec.name(), getDownSeconds(spec.name()) + missing * seconds) == null) {
        registerDown(spec.name());
      }
    }
  }

  private void registerDown(ServiceName service) {
    if (registry != null) {
      FunctionCounter.builder("fireflyshed.group.downtime", this, m -> m.getDownSeconds(service))
          .baseUnit("seconds")
          .tags("zone", zone, "service", service.value())
          .register(registry);
    }
  }

  private static Map<StrandedCause, Integer> count(ClusterState state, Set<ReplicaId> serving) {
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
    boolean isMissing =
        holder.assignment().members().stream()
            .anyMatch(m -> statuses.get(m.id()) == InstanceStatus.FAILED);
    return isMissing ? StrandedCause.BROKEN : StrandedCause.LOADING;
  }
}
