package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The engines and replicas of one service in one zone, as a planner knows them. Not thread safe.
 */
final class FormationState {

  private final EngineProfile profile;
  private final Map<InstanceId, EngineState> engines = new LinkedHashMap<>();
  private final Map<ReplicaId, ReplicaState> replicas = new LinkedHashMap<>();
  private final GenerationCounter generations;

  FormationState(EngineProfile profile, GenerationCounter generations) {
    this.profile = profile;
    this.generations = generations;
  }

  EngineProfile getProfile() {
    return profile;
  }

  Collection<EngineState> getEngines() {
    return engines.values();
  }

  Collection<ReplicaState> getReplicas() {
    return replicas.values();
  }

  /** Finds the kept replica that an engine is in by its membership. */
  Optional<ReplicaState> findReplica(EngineState engine) {
    return engine.getMembership().map(m -> replicas.get(m.replica()));
  }

  /** Tests whether an engine reports to be in a replica that is kept. */
  boolean isInLiveReplica(EngineState engine) {
    return findReplica(engine).filter(ReplicaState::isLive).isPresent();
  }

  long takeGeneration() {
    return generations.take();
  }

  void add(Target target) {
    engines.put(target.id(), new EngineState(target));
  }

  void add(ReplicaState replica) {
    replicas.put(replica.getId(), replica);
  }

  void onMembership(InstanceId id, Membership membership, long nowNanos) {
    Optional<ModelProfile> model = getModel(membership.getModel());
    if (model.isEmpty() || ReplicaNameUtils.isSpare(membership.replica())) {
      return;
    }
    replicas
        .computeIfAbsent(
            membership.replica(),
            r -> ReplicaState.ofFound(membership, model.get().size(), nowNanos))
        .onFound(id, membership.rank());
  }

  Optional<EngineState> getEngine(InstanceId id) {
    return id == null ? Optional.empty() : Optional.ofNullable(engines.get(id));
  }

  Optional<ModelProfile> getModel(String name) {
    return profile.models().stream().filter(m -> m.name().equals(name)).findFirst();
  }

  /** Forgets replicas of which nothing is left, and engines that are gone. */
  void clean() {
    replicas.values().removeIf(this::isOver);
    engines.values().removeIf(e -> !e.isListed() && e.isLost() && !isMember(e));
  }

  private boolean isMember(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    return replicas.values().stream().anyMatch(r -> r.getMembers().contains(id));
  }

  /** Tests whether nothing of a replica is left that must be waited for. */
  private boolean isOver(ReplicaState replica) {
    if (replica.getStage() != ReplicaState.Stage.DISSOLVING) {
      return false;
    }
    return replica.getMembers().stream()
        .map(this::getEngine)
        .flatMap(Optional::stream)
        .flatMap(e -> e.getMembership().stream())
        .noneMatch(replica::isSame);
  }

  boolean areAllReported() {
    return engines.values().stream().allMatch(e -> e.isKnown() || e.isLost());
  }

  /** Tests whether an engine may be given to another replica. */
  boolean isFree(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    boolean isPlanned =
        replicas.values().stream().anyMatch(r -> r.isLive() && r.getMembers().contains(id));
    return engine.isOrderable() && !engine.isLeaving() && !isPlanned && isReleased(engine);
  }

  /** Tests whether no replica holds an engine, so that a join takes it from none that may serve. */
  boolean isReleased(EngineState engine) {
    Optional<Membership> membership =
        engine.getMembership().filter(m -> !ReplicaNameUtils.isSpare(m.replica()));
    if (membership.isEmpty()) {
      return true;
    }
    return findReplica(engine)
        .map(r -> r.getStage() == ReplicaState.Stage.DISSOLVING && isHeadOut(r))
        .orElseGet(() -> getModel(membership.get().getModel()).isEmpty());
  }

  /** Tests whether the head of a dissolved replica reported that it left. */
  private boolean isHeadOut(ReplicaState replica) {
    return getEngine(replica.getHead())
        .filter(e -> !e.isLost() && e.isKnown())
        .filter(e -> e.getMembership().filter(replica::isSame).isEmpty())
        .isPresent();
  }

  /**
   * Tests whether engines of a domain are about to become free, which may allow a better choice.
   */
  boolean isChanging(String domain) {
    for (EngineState engine : engines.values()) {
      if (!engine.isKnown() || !engine.getDomain().equals(domain) || engine.isLost()) {
        continue;
      }
      boolean isEnding = findReplica(engine).filter(r -> !r.isLive()).isPresent();
      boolean isWaited = isEnding || !engine.isOrderable();
      if (!engine.isLeaving() && isWaited && !isFree(engine)) {
        return true;
      }
    }
    return false;
  }

  /** Tests whether a live replica of a model has members in a domain. */
  boolean isWanted(String model, String domain) {
    return replicas.values().stream()
        .filter(r -> r.isLive() && r.getModel().equals(model))
        .flatMap(r -> r.getMembers().stream())
        .map(this::getEngine)
        .flatMap(Optional::stream)
        .anyMatch(e -> e.isKnown() && e.getDomain().equals(domain));
  }

  boolean isIn(ReplicaState replica, String domain) {
    return getEngine(replica.getHead())
        .filter(e -> e.isKnown() && e.getDomain().equals(domain))
        .isPresent();
  }

  Set<String> getDomains() {
    Set<String> domains = new LinkedHashSet<>();
    engines.values().stream().filter(EngineState::isKnown).forEach(e -> domains.add(e.getDomain()));
    return domains;
  }
}
