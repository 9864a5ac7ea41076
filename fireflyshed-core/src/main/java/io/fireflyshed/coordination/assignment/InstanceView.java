package io.fireflyshed.coordination.assignment;

import io.fireflyshed.coordination.drain.DrainTracker;
import io.fireflyshed.coordination.health.HealthTracker;
import io.fireflyshed.coordination.health.InstanceHealth;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
import io.fireflyshed.state.replica.ModelServiceSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Combines the platform's instance list, the answers to probes, the health status and the leaving
 * status into one view of the instances of a zone. Not thread safe; must be used on the control
 * thread.
 */
public final class InstanceView {

  private record ProbeAnswer(MemberHealth health, long sentNanos) {}

  private final AvailabilityZone zone;
  private final HealthTracker health;
  private final DrainTracker drain;
  private final long missingTimeoutNanos;
  private final Map<InstanceId, InstanceRecord> listed = new HashMap<>();
  private final Map<InstanceId, Long> missingSinceNanos = new HashMap<>();
  private final Map<InstanceId, ProbeAnswer> answers = new HashMap<>();
  private List<ModelServiceSpec> services = List.of();
  private boolean isListReceived;

  /**
   * Creates an empty view.
   *
   * @param zone the availability zone, not null
   * @param health the health of the instances, not null
   * @param drain the instances that are leaving, not null
   * @param missingTimeout how long an instance must be missing from the list before it counts as
   *     stopped, not null
   */
  public InstanceView(
      AvailabilityZone zone, HealthTracker health, DrainTracker drain, Duration missingTimeout) {
    this.zone = Objects.requireNonNull(zone, "zone");
    this.health = Objects.requireNonNull(health, "health");
    this.drain = Objects.requireNonNull(drain, "drain");
    this.missingTimeoutNanos = missingTimeout.toNanos();
  }

  /**
   * Replaces the model services that the zone is to run.
   *
   * @param newServices the services, not null
   */
  public void onServices(List<ModelServiceSpec> newServices) {
    services = List.copyOf(newServices);
  }

  /**
   * Replaces the platform's instance list.
   *
   * @param instances the listed instances of all zones, not null
   * @param members the instances that are members of replicas, not null
   * @param nowNanos the current monotonic clock reading, in nanoseconds
   */
  public void onList(List<InstanceRecord> instances, Set<InstanceId> members, long nowNanos) {
    isListReceived = true;
    listed.clear();
    instances.stream()
        .filter(i -> i.isEngine() && i.zone().equals(zone))
        .forEach(i -> listed.put(i.id(), i));
    Set<InstanceId> known = new HashSet<>(listed.keySet());
    known.addAll(members);
    answers.keySet().retainAll(known);
    missingSinceNanos.keySet().retainAll(members);
    missingSinceNanos.keySet().removeAll(listed.keySet());
    members.stream()
        .filter(m -> !listed.containsKey(m))
        .forEach(m -> missingSinceNanos.putIfAbsent(m, nowNanos));
  }

  /**
   * Records the answer to a probe, unless a later probe has already been answered.
   *
   * @param answer the answer, not null
   * @param sentNanos the monotonic clock reading, in nanoseconds, taken before the probe was sent
   */
  public void onHealth(MemberHealth answer, long sentNanos) {
    ProbeAnswer last = answers.get(answer.instance());
    if (last == null || sentNanos - last.sentNanos() >= 0) {
      answers.put(answer.instance(), new ProbeAnswer(answer, sentNanos));
    }
  }

  Optional<InstanceRecord> getListed(InstanceId instance) {
    return Optional.ofNullable(listed.get(instance));
  }

  /** Tests whether the last answer of a member names the replica and its current generation. */
  boolean isRunning(Assignment assignment, InstanceId member) {
    ProbeAnswer answer = answers.get(member);
    return answer != null
        && answer.health().generation() == assignment.generation()
        && answer.health().replica().filter(assignment.id()::equals).isPresent();
  }

  /** Tests whether the last answer of a member reports that it is ready to serve the replica. */
  boolean isReady(Assignment assignment, InstanceId member) {
    return isRunning(assignment, member) && answers.get(member).health().isReady();
  }

  boolean isAnswerOlderThan(InstanceId member, long thresholdNanos) {
    ProbeAnswer answer = answers.get(member);
    return answer == null || answer.sentNanos() - thresholdNanos < 0;
  }

  boolean isDraining(Assignment assignment) {
    return drain.isDraining(assignment);
  }

  /** Tests whether a member is known not to serve, so that no stream of the replica can finish. */
  boolean hasUnavailableMember(Assignment assignment, long nowNanos) {
    return assignment.members().stream()
        .map(InstanceRecord::id)
        .anyMatch(
            m ->
                health.getHealth(m, nowNanos) == InstanceHealth.FAILED
                    || answers.containsKey(m) && !isReady(assignment, m));
  }

  /**
   * Tests whether all members have been missing from the platform's list for longer than its lag.
   */
  boolean isEveryMemberStopped(Assignment assignment, long nowNanos) {
    return isListReceived
        && assignment.members().stream()
            .map(m -> missingSinceNanos.get(m.id()))
            .allMatch(
                sinceNanos -> sinceNanos != null && nowNanos - sinceNanos >= missingTimeoutNanos);
  }

  ClusterState toState(
      Map<InstanceId, InstanceRecord> members,
      Set<InstanceId> held,
      Set<InstanceId> quarantined,
      List<AssignmentState> assignments,
      long nowNanos) {
    Map<InstanceId, InstanceRecord> known = new HashMap<>(members);
    known.putAll(listed);
    List<InstanceState> instances = new ArrayList<>();
    known.values().stream()
        .sorted(Comparator.comparing(InstanceRecord::id))
        .forEach(
            i ->
                instances.add(
                    new InstanceState(
                        i,
                        getStatus(i, quarantined, nowNanos),
                        health.getSinceNanos(i.id(), nowNanos),
                        held.contains(i.id()))));
    return new ClusterState(zone, services, instances, assignments, nowNanos);
  }

  private InstanceStatus getStatus(
      InstanceRecord instance, Set<InstanceId> quarantined, long nowNanos) {
    if (drain.isLeaving(instance)) {
      return InstanceStatus.LEAVING;
    }
    if (!listed.containsKey(instance.id())) {
      return InstanceStatus.FAILED;
    }
    if (quarantined.contains(instance.id())) {
      return InstanceStatus.QUARANTINED;
    }
    return switch (health.getHealth(instance.id(), nowNanos)) {
      case HEALTHY -> InstanceStatus.HEALTHY;
      case SUSPECT -> InstanceStatus.SUSPECT;
      case FAILED -> InstanceStatus.FAILED;
      case UNSTABLE -> InstanceStatus.UNSTABLE;
    };
  }
}
