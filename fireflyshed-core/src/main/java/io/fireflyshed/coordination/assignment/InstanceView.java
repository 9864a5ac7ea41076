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
 * Joins the platform's list, the answers to probes, the judgement of health and the signs of
 * leaving into one view of the instances of a zone. Not thread safe; belongs to the control thread.
 */
public final class InstanceView {

  private record Answer(MemberHealth health, long sentNanos) {}

  private final AvailabilityZone zone;
  private final HealthTracker health;
  private final DrainTracker drain;
  private final long goneNanos;
  private final Map<InstanceId, InstanceRecord> listed = new HashMap<>();
  private final Map<InstanceId, Long> missingSince = new HashMap<>();
  private final Map<InstanceId, Answer> answers = new HashMap<>();
  private List<ModelServiceSpec> services = List.of();
  private boolean isListKnown;

  /**
   * Creates a view without instances.
   *
   * @param zone the availability zone, not null
   * @param health judges the instances, not null
   * @param drain unites the signs of leaving, not null
   * @param goneTime how long an instance is missing from the list before it counts as stopped, not
   *     null
   */
  public InstanceView(
      AvailabilityZone zone, HealthTracker health, DrainTracker drain, Duration goneTime) {
    this.zone = Objects.requireNonNull(zone, "zone");
    this.health = Objects.requireNonNull(health, "health");
    this.drain = Objects.requireNonNull(drain, "drain");
    this.goneNanos = goneTime.toNanos();
  }

  /**
   * Takes in the wanted model services.
   *
   * @param wanted the services, not null
   */
  public void onServices(List<ModelServiceSpec> wanted) {
    services = List.copyOf(wanted);
  }

  /**
   * Takes in the platform's list.
   *
   * @param instances the listed instances of all zones, not null
   * @param members the instances that replicas hold, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onList(List<InstanceRecord> instances, Set<InstanceId> members, long nowNanos) {
    isListKnown = true;
    listed.clear();
    instances.stream()
        .filter(i -> i.isEngine() && i.zone().equals(zone))
        .forEach(i -> listed.put(i.id(), i));
    Set<InstanceId> known = new HashSet<>(listed.keySet());
    known.addAll(members);
    answers.keySet().retainAll(known);
    missingSince.keySet().retainAll(members);
    missingSince.keySet().removeAll(listed.keySet());
    members.stream()
        .filter(m -> !listed.containsKey(m))
        .forEach(m -> missingSince.putIfAbsent(m, nowNanos));
  }

  /**
   * Takes in an answer to a probe.
   *
   * @param answer the answer, not null
   * @param sentNanos the reading of the monotonic clock before the probe was sent
   */
  public void onHealth(MemberHealth answer, long sentNanos) {
    Answer last = answers.get(answer.instance());
    if (last == null || sentNanos - last.sentNanos() >= 0) {
      answers.put(answer.instance(), new Answer(answer, sentNanos));
    }
  }

  Optional<InstanceRecord> getListed(InstanceId instance) {
    return Optional.ofNullable(listed.get(instance));
  }

  /** Tests whether the last answer of a member names the replica and its generation. */
  boolean isRunning(Assignment assignment, InstanceId member) {
    Answer answer = answers.get(member);
    return answer != null
        && answer.health().generation() == assignment.generation()
        && answer.health().replica().filter(assignment.id()::equals).isPresent();
  }

  /** Tests whether the last answer of a member says that it is ready for the replica. */
  boolean isReady(Assignment assignment, InstanceId member) {
    return isRunning(assignment, member) && answers.get(member).health().isReady();
  }

  boolean isOlderThan(InstanceId member, long nanos) {
    Answer answer = answers.get(member);
    return answer == null || answer.sentNanos() - nanos < 0;
  }

  boolean isDraining(Assignment assignment) {
    return drain.isDraining(assignment);
  }

  /** Tests whether a member certainly does not serve, so that no stream is worth waiting for. */
  boolean isBroken(Assignment assignment, long nowNanos) {
    return assignment.members().stream()
        .map(InstanceRecord::id)
        .anyMatch(
            m ->
                health.getHealth(m, nowNanos) == InstanceHealth.FAILED
                    || answers.containsKey(m) && !isReady(assignment, m));
  }

  /** Tests whether the platform has stopped all members, by its list and its lag. */
  boolean isAllGone(Assignment assignment, long nowNanos) {
    return isListKnown
        && assignment.members().stream()
            .map(m -> missingSince.get(m.id()))
            .allMatch(since -> since != null && nowNanos - since >= goneNanos);
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
