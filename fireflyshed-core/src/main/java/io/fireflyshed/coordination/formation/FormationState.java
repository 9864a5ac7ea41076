package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The planner's view of the engines and replicas of one service in one zone. Not thread safe. */
final class FormationState {

  private final EngineProfile profile;
  private final Map<InstanceId, EngineState> engines = new LinkedHashMap<>();

  /** The replicas by name; several have the same one if two coordinators had the same epoch. */
  private final Map<ReplicaId, List<ReplicaState>> replicas = new LinkedHashMap<>();

  private final GenerationCounter generations;

  FormationState(EngineProfile profile, GenerationCounter generations) {
    this.profile = profile;
    this.generations = generations;
  }

  EngineProfile getProfile() {
    return profile;
  }

  Set<InstanceId> getEngineIds() {
    return engines.keySet();
  }

  Collection<EngineState> getEngines() {
    return engines.values();
  }

  Collection<ReplicaState> getReplicas() {
    return streamReplicas().toList();
  }

  private Stream<ReplicaState> streamReplicas() {
    return replicas.values().stream().flatMap(List::stream);
  }

  private List<ReplicaState> getReplicasNamed(ReplicaId id) {
    return replicas.getOrDefault(id, List.of());
  }

  /** Returns the tracked replica that an engine reports to be a member of. */
  Optional<ReplicaState> findReplica(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    return engine
        .getMembership()
        .flatMap(
            m ->
                getReplicasNamed(m.replica()).stream()
                    .filter(replica -> replica.getMembers().contains(id))
                    .findFirst());
  }

  /** Tests whether an engine reports to be a member of a live replica. */
  boolean isInLiveReplica(EngineState engine) {
    return findReplica(engine).filter(ReplicaState::isLive).isPresent();
  }

  /** Forgets all replicas and what is known of the engines, as at the begin of a term. */
  void forget() {
    replicas.clear();
    engines.values().forEach(EngineState::forget);
  }

  long nextGeneration() {
    return generations.next();
  }

  void add(Target target) {
    engines.put(target.id(), new EngineState(target));
  }

  void add(ReplicaState replica) {
    replicas.computeIfAbsent(replica.getId(), r -> new ArrayList<>()).add(replica);
  }

  void recordMembership(InstanceId id, Membership membership, long nowNanos) {
    Optional<ModelProfile> model = getModel(membership.getModel());
    if (model.isEmpty() || ReplicaNameUtils.isSpare(membership.replica())) {
      return;
    }
    boolean isKnown =
        getReplicasNamed(membership.replica()).stream()
            .anyMatch(replica -> replica.getMembers().contains(id));
    if (isKnown) {
      return;
    }
    ReplicaState replica =
        getReplicasNamed(membership.replica()).stream()
            .filter(r -> r.isMemberMissing(membership))
            .findFirst()
            .orElseGet(
                () -> {
                  ReplicaState reported =
                      ReplicaState.ofReported(membership, model.get().size(), nowNanos);
                  add(reported);
                  return reported;
                });
    replica.recordMember(id, membership.rank());
  }

  Optional<EngineState> getEngine(InstanceId id) {
    return id == null ? Optional.empty() : Optional.ofNullable(engines.get(id));
  }

  Optional<ModelProfile> getModel(String name) {
    return profile.models().stream().filter(m -> m.name().equals(name)).findFirst();
  }

  /**
   * Removes replicas that are fully dissolved and engines that are unlisted, lost and in no
   * replica.
   */
  void removeFinished() {
    replicas.values().forEach(sameName -> sameName.removeIf(this::isFullyDissolved));
    replicas.values().removeIf(List::isEmpty);
    engines.values().removeIf(e -> !e.isListed() && e.isLost() && !isMember(e));
  }

  private boolean isMember(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    return streamReplicas().anyMatch(r -> r.getMembers().contains(id));
  }

  /** Tests whether a dissolving replica has no member left that still reports its membership. */
  private boolean isFullyDissolved(ReplicaState replica) {
    if (replica.getStage() != ReplicaState.Stage.DISSOLVING) {
      return false;
    }
    return replica.getMembers().stream()
        .map(this::getEngine)
        .flatMap(Optional::stream)
        .flatMap(e -> e.getMembership().stream())
        .noneMatch(replica::matches);
  }

  boolean haveAllReported() {
    return engines.values().stream().allMatch(e -> e.hasReport() || e.isLost());
  }

  /** Tests whether an engine may be assigned to another replica. */
  boolean isFree(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    boolean isAssigned = streamReplicas().anyMatch(r -> r.isLive() && r.getMembers().contains(id));
    return engine.isOrderable() && !engine.isLeaving() && !isAssigned && isReleased(engine);
  }

  /**
   * Tests whether no replica holds an engine, so that a join can't take it from a replica that may
   * still serve. Reports name a replica but not its members, so of several replicas with the same
   * name all heads must have left.
   */
  boolean isReleased(EngineState engine) {
    Optional<Membership> membership =
        engine.getMembership().filter(m -> !ReplicaNameUtils.isSpare(m.replica()));
    if (membership.isEmpty()) {
      return true;
    }
    List<ReplicaState> sameName = getReplicasNamed(membership.get().replica());
    if (sameName.isEmpty()) {
      return getModel(membership.get().getModel()).isEmpty();
    }
    return sameName.stream()
        .allMatch(r -> r.getStage() == ReplicaState.Stage.DISSOLVING && hasHeadLeft(r));
  }

  /** Tests whether the head of a replica reported that it left the replica. */
  private boolean hasHeadLeft(ReplicaState replica) {
    return getEngine(replica.getHead())
        .filter(e -> !e.isLost() && e.hasReport())
        .filter(e -> e.getMembership().filter(replica::matches).isEmpty())
        .isPresent();
  }

  /**
   * Tests whether engines of a domain are about to become free. Waiting for them may allow a better
   * assignment.
   */
  boolean isReleasePending(String domain) {
    for (EngineState engine : engines.values()) {
      if (!engine.hasReport() || !engine.getDomain().equals(domain) || engine.isLost()) {
        continue;
      }
      boolean isReplicaEnding = findReplica(engine).filter(r -> !r.isLive()).isPresent();
      boolean isUnsettled = isReplicaEnding || !engine.isOrderable();
      if (!engine.isLeaving() && isUnsettled && !isFree(engine)) {
        return true;
      }
    }
    return false;
  }

  /** Tests whether a live replica of a model has members in a domain. */
  boolean hasLiveReplica(String model, String domain) {
    return streamReplicas()
        .filter(r -> r.isLive() && r.getModel().equals(model))
        .flatMap(r -> r.getMembers().stream())
        .map(this::getEngine)
        .flatMap(Optional::stream)
        .anyMatch(e -> e.hasReport() && e.getDomain().equals(domain));
  }

  boolean isHeadIn(ReplicaState replica, String domain) {
    return getEngine(replica.getHead())
        .filter(e -> e.hasReport() && e.getDomain().equals(domain))
        .isPresent();
  }

  Set<String> getDomains() {
    Set<String> domains = new LinkedHashSet<>();
    engines.values().stream()
        .filter(EngineState::hasReport)
        .forEach(e -> domains.add(e.getDomain()));
    return domains;
  }
}
