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
 * Holds which replicas the services want, and which replicas are still kept as they were until they
 * may change. Not thread safe.
 */
final class ReplicaWishes {

  private final RolloutSettings rollout;
  private final Map<ReplicaId, ModelServiceSpec> wanted = new LinkedHashMap<>();
  private final Map<ReplicaId, ModelServiceSpec> kept = new LinkedHashMap<>();
  private final Map<ServiceName, Integer> counts = new HashMap<>();

  ReplicaWishes(RolloutSettings rollout) {
    this.rollout = rollout;
  }

  /** Gets the id of a replica of a service in a zone. */
  static ReplicaId toId(ModelServiceSpec spec, AvailabilityZone zone, int index) {
    return new ReplicaId(spec.name() + "." + zone + "." + index);
  }

  /** Takes over other services; replicas that exist are kept as they are until they may change. */
  void update(ClusterState state) {
    wanted.clear();
    counts.clear();
    for (ModelServiceSpec spec : state.services()) {
      counts.put(spec.name(), spec.replicas());
      for (int i = 0; i < spec.replicas(); i++) {
        wanted.put(toId(spec, state.zone(), i), spec);
      }
    }
    kept.clear();
    for (AssignmentState assignment : state.assignments()) {
      if (assignment.phase() == AssignmentPhase.ACTIVE) {
        kept.put(assignment.assignment().id(), toSpec(assignment));
      }
    }
    wanted.forEach(kept::putIfAbsent);
  }

  private static ModelServiceSpec toSpec(AssignmentState state) {
    return new ModelServiceSpec(
        state.assignment().service(), state.model(), state.assignment().members().size(), 1);
  }

  Map<ReplicaId, ModelServiceSpec> getKept() {
    return kept;
  }

  /** Gets what is wanted of a kept replica, or null if it is surplus. */
  ModelServiceSpec getWanted(ReplicaId id) {
    return wanted.get(id);
  }

  boolean isKept(ReplicaId id) {
    return kept.containsKey(id);
  }

  /**
   * Gets the replicas that are to change now, those that are not whole first, so that no service
   * falls below its floor by it.
   */
  List<ReplicaId> getDue(Collection<AssignmentState> assignments) {
    List<AssignmentState> differing = new ArrayList<>();
    Map<ServiceName, Integer> whole = new HashMap<>();
    for (AssignmentState state : assignments) {
      ReplicaId id = state.assignment().id();
      if (isWhole(state) && wanted.containsKey(id)) {
        whole.merge(state.assignment().service(), 1, Integer::sum);
      }
      if (state.phase() == AssignmentPhase.ACTIVE && isDiffering(id, state)) {
        differing.add(state);
      }
    }
    List<ReplicaId> due = new ArrayList<>();
    for (AssignmentState state : differing) {
      ReplicaId id = state.assignment().id();
      ServiceName service = state.assignment().service();
      int count = counts.getOrDefault(service, 0);
      int wholeCount = whole.getOrDefault(service, 0);
      if (!isWhole(state) || !wanted.containsKey(id) && wholeCount >= rollout.getFloor(count)) {
        due.add(id);
      } else if (wanted.containsKey(id) && rollout.getAllowance(count, wholeCount) > 0) {
        due.add(id);
        whole.put(service, wholeCount - 1);
      }
    }
    return due;
  }

  /** Keeps a replica no longer as it was, but as it is wanted, if it is. */
  void change(ReplicaId id) {
    ModelServiceSpec spec = wanted.get(id);
    if (spec == null) {
      kept.remove(id);
    } else {
      kept.put(id, spec);
    }
  }

  private boolean isDiffering(ReplicaId id, AssignmentState state) {
    ModelServiceSpec spec = wanted.get(id);
    return spec == null
        || !spec.model().equals(state.model())
        || spec.instancesPerReplica() != state.assignment().members().size();
  }

  private static boolean isWhole(AssignmentState state) {
    return state.phase() == AssignmentPhase.ACTIVE
        && state.ready().size() == state.assignment().members().size();
  }
}
