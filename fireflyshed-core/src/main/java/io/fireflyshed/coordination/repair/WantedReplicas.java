package io.fireflyshed.coordination.repair;

import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.AssignmentState;
import io.fireflyshed.coordination.assignment.ClusterState;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which replicas the services want, and the specification that is in effect for each replica
 * until it may change. Not thread safe.
 */
final class WantedReplicas {

  private final RolloutSettings rollout;
  private final Map<ReplicaId, ModelServiceSpec> wantedSpecs = new LinkedHashMap<>();
  private final Map<ReplicaId, ModelServiceSpec> effectiveSpecs = new LinkedHashMap<>();
  private final Map<ServiceName, Integer> wantedCounts = new HashMap<>();

  WantedReplicas(RolloutSettings rollout) {
    this.rollout = rollout;
  }

  /** Returns the id of a replica of a service in a zone. */
  static ReplicaId toId(ModelServiceSpec spec, AvailabilityZone zone, int index) {
    return new ReplicaId(spec.name() + "." + zone + "." + index);
  }

  /**
   * Replaces the wanted services. Existing replicas keep their present specification until they may
   * change.
   */
  void update(ClusterState state) {
    wantedSpecs.clear();
    wantedCounts.clear();
    for (ModelServiceSpec spec : state.services()) {
      wantedCounts.put(spec.name(), spec.replicas());
      for (int i = 0; i < spec.replicas(); i++) {
        wantedSpecs.put(toId(spec, state.zone(), i), spec);
      }
    }
    effectiveSpecs.clear();
    for (AssignmentState assignment : state.assignments()) {
      if (assignment.phase() == AssignmentPhase.ACTIVE) {
        effectiveSpecs.put(assignment.assignment().id(), toSpec(assignment));
      }
    }
    wantedSpecs.forEach(effectiveSpecs::putIfAbsent);
  }

  private static ModelServiceSpec toSpec(AssignmentState state) {
    return new ModelServiceSpec(
        state.assignment().service(), state.model(), state.assignment().members().size(), 1);
  }

  Map<ReplicaId, ModelServiceSpec> getEffectiveSpecs() {
    return effectiveSpecs;
  }

  /** Returns the wanted specification of a replica, or null if the replica is surplus. */
  ModelServiceSpec getWantedSpec(ReplicaId id) {
    return wantedSpecs.get(id);
  }

  boolean hasEffectiveSpec(ReplicaId id) {
    return effectiveSpecs.containsKey(id);
  }

  /**
   * Returns the replicas that may change now without taking a service below its floor. An
   * incomplete replica may always change.
   */
  List<ReplicaId> findReplicasToChange(Collection<AssignmentState> assignments) {
    List<AssignmentState> outdated = new ArrayList<>();
    Map<ServiceName, Integer> completeCounts = new HashMap<>();
    for (AssignmentState state : assignments) {
      ReplicaId id = state.assignment().id();
      if (isComplete(state) && wantedSpecs.containsKey(id)) {
        completeCounts.merge(state.assignment().service(), 1, Integer::sum);
      }
      if (state.phase() == AssignmentPhase.ACTIVE && isOutdated(id, state)) {
        outdated.add(state);
      }
    }
    List<ReplicaId> selected = new ArrayList<>();
    for (AssignmentState state : outdated) {
      ReplicaId id = state.assignment().id();
      ServiceName service = state.assignment().service();
      int wantedCount = wantedCounts.getOrDefault(service, 0);
      int completeCount = completeCounts.getOrDefault(service, 0);
      if (!isComplete(state)
          || !wantedSpecs.containsKey(id) && completeCount >= rollout.getFloor(wantedCount)) {
        selected.add(id);
      } else if (wantedSpecs.containsKey(id)
          && rollout.getAllowance(wantedCount, completeCount) > 0) {
        selected.add(id);
        completeCounts.put(service, completeCount - 1);
      }
    }
    return selected;
  }

  /**
   * Puts the wanted specification of a replica into effect, or removes the replica if it is
   * surplus.
   */
  void adoptWantedSpec(ReplicaId id) {
    ModelServiceSpec spec = wantedSpecs.get(id);
    if (spec == null) {
      effectiveSpecs.remove(id);
    } else {
      effectiveSpecs.put(id, spec);
    }
  }

  private boolean isOutdated(ReplicaId id, AssignmentState state) {
    ModelServiceSpec spec = wantedSpecs.get(id);
    return spec == null
        || !spec.model().equals(state.model())
        || spec.instancesPerReplica() != state.assignment().members().size();
  }

  private static boolean isComplete(AssignmentState state) {
    return state.phase() == AssignmentPhase.ACTIVE
        && state.ready().size() == state.assignment().members().size();
  }
}
