package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Forms replicas of free engines, keeps spares ready and moves engines between models. Not thread
 * safe.
 */
final class ReplicaAllocator {

  /** The share that a model without work counts with. */
  private static final double MIN_SHARE = 0.01;

  /** A model with this many times the coverage of another gives engines up for it. */
  private static final double IMBALANCE = 1.8;

  /** The same if engines of the domain are free that no model can use alone. */
  private static final double IMBALANCE_WITH_FREE = 1.2;

  /** The free engines of a domain beyond its usual spares, which make a change worth more. */
  private static final int MANY_FREE = 3;

  private final FormationSettings settings;
  private final EngineProfile profile;
  private final FormationState state;
  private final ReplicaMaintainer maintainer;
  private final LoadBudget loads;
  private Map<String, Integer> replicasElsewhere = Map.of();

  ReplicaAllocator(
      FormationSettings settings,
      FormationState state,
      ReplicaMaintainer maintainer,
      LoadBudget loads) {
    this.settings = settings;
    this.profile = state.getProfile();
    this.state = state;
    this.maintainer = maintainer;
    this.loads = loads;
  }

  void setReplicasElsewhere(Map<String, Integer> replicas) {
    replicasElsewhere = Map.copyOf(replicas);
  }

  /** Forms replicas of the free engines of each domain and stages models on those left over. */
  void form(boolean isSettled, long nowNanos, OrderBatch orders) {
    Map<String, List<EngineState>> domains = new LinkedHashMap<>();
    for (EngineState engine : state.getEngines()) {
      if (!orders.isOrdered(engine.getTarget().id()) && state.isFree(engine)) {
        String domain = engine.getDomain();
        domains.computeIfAbsent(domain, d -> new ArrayList<>()).add(engine);
      }
    }
    for (List<EngineState> free : domains.values()) {
      formDomain(free, isSettled, nowNanos, orders);
    }
    if (!isSettled) {
      return;
    }
    for (String domain : state.getDomains()) {
      if (state.isChanging(domain)) {
        continue;
      }
      List<EngineState> free = domains.getOrDefault(domain, List.of());
      // A spare that joined for the other model would lose the weights that it is given here.
      boolean isMoving = rebalance(domain, free, nowNanos, orders);
      if (!isMoving) {
        readySpares(domain, free, nowNanos, orders);
      }
    }
  }

  private void formDomain(
      List<EngineState> free, boolean isSettled, long nowNanos, OrderBatch orders) {
    while (true) {
      Optional<Candidate> best = chooseCandidate(free, isSettled);
      if (best.isEmpty() || !loads.isAllowed(best.get().loads(), nowNanos)) {
        return;
      }
      boolean isQuick = best.get().time().compareTo(settings.quick()) <= 0;
      String domain = free.get(0).getDomain();
      if (!isQuick && (state.isChanging(domain) || isBetterKept(best.get(), free, domain))) {
        return;
      }
      Candidate candidate = best.get();
      loads.begin(candidate.loads(), nowNanos);
      long generation = state.takeGeneration();
      ReplicaId id = ReplicaNameUtils.newId(candidate.model().name(), generation);
      List<InstanceId> members = candidate.members().stream().map(e -> e.getTarget().id()).toList();
      ReplicaState replica = new ReplicaState(id, generation, members, nowNanos);
      candidate
          .members()
          .forEach(e -> replica.rememberStart(e.getTarget().id(), e.getStartMillis()));
      state.add(replica);
      EngineOrder join = new EngineOrder.Join(id, generation, candidate.model().name(), members);
      String reason = "form in " + candidate.time().toMillis() + " ms";
      candidate.members().forEach(e -> orders.add(FormationOrder.of(e, join, reason)));
      free.removeAll(candidate.members());
    }
  }

  /**
   * Tests whether free engines should wait for the model that needs them most rather than load
   * another one now: together with replicas of the domain that can give way they are enough.
   */
  private boolean isBetterKept(Candidate candidate, List<EngineState> free, String domain) {
    Map<String, Double> coverage = getCoverage();
    ModelProfile needy = getNeediest(coverage).orElseThrow();
    double ratio = coverage.get(candidate.model().name()) / coverage.get(needy.name());
    return !candidate.model().name().equals(needy.name())
        && ratio > IMBALANCE_WITH_FREE
        && free.size() + countGiven(needy, domain) >= needy.size();
  }

  private int countGiven(ModelProfile needy, String domain) {
    return state.getReplicas().stream()
        .filter(r -> r.isLive() && !r.getModel().equals(needy.name()) && state.isIn(r, domain))
        .mapToInt(r -> r.getMembers().size())
        .sum();
  }

  /** A replica that could be formed. */
  private record Candidate(
      ModelProfile model, List<EngineState> members, Duration time, int loads) {}

  /**
   * Chooses the model that has the least of its share of the work among those that can be formed
   * quickly, or among all if none can. While engines still turn up, only the model that needs them
   * most is formed, so that a small replica doesn't take the engines of a large one.
   */
  private Optional<Candidate> chooseCandidate(List<EngineState> free, boolean isSettled) {
    Map<String, Double> coverage = getCoverage();
    if (!isSettled) {
      return getNeediest(coverage)
          .filter(m -> free.size() >= m.size())
          .map(m -> newCandidate(m, free));
    }
    Candidate best = null;
    for (ModelProfile model : profile.models()) {
      if (free.size() < model.size()) {
        continue;
      }
      Candidate candidate = newCandidate(model, free);
      if (best == null || isBetter(candidate, best, coverage)) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private Optional<ModelProfile> getNeediest(Map<String, Double> coverage) {
    return profile.models().stream()
        .min(
            Comparator.comparingDouble((ModelProfile m) -> coverage.get(m.name()))
                .thenComparing(Comparator.comparingInt(ModelProfile::size).reversed()));
  }

  private boolean isBetter(Candidate one, Candidate other, Map<String, Double> coverage) {
    boolean isQuick = one.time().compareTo(settings.quick()) <= 0;
    boolean isOtherQuick = other.time().compareTo(settings.quick()) <= 0;
    if (isQuick != isOtherQuick) {
      return isQuick;
    }
    int byNeed = coverage.get(one.model().name()).compareTo(coverage.get(other.model().name()));
    return byNeed != 0 ? byNeed < 0 : one.model().size() > other.model().size();
  }

  /** Gets the engines in live replicas of each model, by the model's share of the work. */
  private Map<String, Double> getCoverage() {
    Map<String, Double> coverage = new HashMap<>();
    for (ModelProfile model : profile.models()) {
      int elsewhere = replicasElsewhere.getOrDefault(model.name(), 0);
      coverage.put(model.name(), elsewhere * getWeight(model));
    }
    for (ReplicaState replica : state.getReplicas()) {
      if (replica.isLive()) {
        state
            .getModel(replica.getModel())
            .ifPresent(m -> coverage.merge(m.name(), getWeight(m), Double::sum));
      }
    }
    return coverage;
  }

  /** Gets what one replica adds to the coverage of its model. */
  private static double getWeight(ModelProfile model) {
    return model.size() / Math.max(model.share(), MIN_SHARE);
  }

  private Candidate newCandidate(ModelProfile model, List<EngineState> free) {
    List<EngineState> sorted = new ArrayList<>(free);
    sorted.sort(
        Comparator.comparing((EngineState e) -> getJoinTime(e, model))
            .thenComparing(e -> !e.isListed())
            .thenComparing(e -> getOtherUse(e, model)));
    List<EngineState> members = new ArrayList<>(sorted.subList(0, model.size()));
    Duration time = getJoinTime(members.get(members.size() - 1), model);
    // Entries find a replica by its head, so the head must be listed.
    members.sort(Comparator.comparing(e -> !e.isListed()));
    int cold = (int) members.stream().filter(e -> isCold(e, model)).count();
    return new Candidate(model, members, time, cold);
  }

  /** Ranks engines that another model could use above those that none could use. */
  private static int getOtherUse(EngineState engine, ModelProfile model) {
    Set<String> staged = engine.getStagedModels();
    return staged.isEmpty() || staged.contains(model.name()) ? 0 : 1;
  }

  private Duration getJoinTime(EngineState engine, ModelProfile model) {
    if (engine.getLastModel().equals(model.name())) {
      return settings.rejoin();
    }
    return isCold(engine, model) ? model.load() : model.warmup();
  }

  private static boolean isCold(EngineState engine, ModelProfile model) {
    return !engine.getLastModel().equals(model.name())
        && !engine.getStagedModels().contains(model.name());
  }

  /**
   * Keeps spares ready for the models of their domain, that of the largest replicas first, since it
   * loses members most often.
   */
  private void readySpares(
      String domain, List<EngineState> spares, long nowNanos, OrderBatch orders) {
    List<EngineState> idle = new ArrayList<>(spares);
    List<ModelProfile> wanted =
        profile.models().stream()
            .filter(m -> state.isWanted(m.name(), domain))
            .sorted(Comparator.comparingInt(ModelProfile::size).reversed())
            .limit(spares.size())
            .toList();
    for (ModelProfile model : wanted) {
      if (idle.removeIf(isFirst(e -> e.getLastModel().equals(model.name())))) {
        continue;
      }
      Optional<EngineState> best =
          idle.stream()
              .filter(e -> !e.isBusy())
              .min(Comparator.comparing(e -> getJoinTime(e, model)));
      if (best.isPresent()) {
        idle.remove(best.get());
        ready(best.get(), model, nowNanos, orders);
      }
    }
  }

  /** Makes a filter that matches at most one element. */
  private static Predicate<EngineState> isFirst(Predicate<EngineState> filter) {
    boolean[] isFound = new boolean[1];
    return e -> !isFound[0] && (isFound[0] = filter.test(e));
  }

  private void ready(EngineState spare, ModelProfile model, long nowNanos, OrderBatch orders) {
    int cold = isCold(spare, model) ? 1 : 0;
    if (!loads.isAllowed(cold, nowNanos)) {
      return;
    }
    loads.begin(cold, nowNanos);
    long generation = state.takeGeneration();
    ReplicaId id = ReplicaNameUtils.newSpareId(model.name(), generation);
    List<InstanceId> self = List.of(spare.getTarget().id());
    EngineOrder join = new EngineOrder.Join(id, generation, model.name(), self);
    orders.add(FormationOrder.of(spare, join, "keep as a spare"));
  }

  /**
   * Moves engines of a domain from a model that has far more than its share to the one that has
   * least: loads the model beside the work that goes on, then closes what must give way.
   *
   * @return whether engines of the domain are moved
   */
  private boolean rebalance(
      String domain, List<EngineState> free, long nowNanos, OrderBatch orders) {
    Map<String, Double> coverage = getCoverage();
    ModelProfile needy = getNeediest(coverage).orElseThrow();
    List<EngineState> pool = new ArrayList<>(free);
    List<ReplicaState> givers = new ArrayList<>();
    double imbalance = free.size() >= MANY_FREE ? IMBALANCE_WITH_FREE : IMBALANCE;
    for (ReplicaState replica : state.getReplicas()) {
      boolean isRich =
          replica.getStage() == ReplicaState.Stage.SERVING
              && !orders.isOrdered(replica.getHead())
              && !replica.getModel().equals(needy.name())
              && coverage.getOrDefault(replica.getModel(), 0.0)
                  > imbalance * coverage.get(needy.name());
      if (pool.size() < needy.size() && isRich && state.isIn(replica, domain)) {
        givers.add(replica);
        replica.getMembers().stream()
            .map(state::getEngine)
            .flatMap(Optional::stream)
            .filter(e -> !e.isLeaving() && e.isOrderable())
            .filter(e -> !orders.isOrdered(e.getTarget().id()))
            .forEach(pool::add);
      }
    }
    if (givers.isEmpty() || pool.size() < needy.size()) {
      return false;
    }
    Candidate candidate = newCandidate(needy, pool);
    if (candidate.loads() == 0) {
      givers.forEach(r -> maintainer.close(r, "model " + needy.name() + " lacks replicas", orders));
      return true;
    }
    for (EngineState member : candidate.members()) {
      if (isCold(member, needy) && !member.isBusy() && loads.isAllowed(1, nowNanos)) {
        loads.begin(1, nowNanos);
        EngineOrder stage = new EngineOrder.Stage(needy.name());
        orders.add(FormationOrder.of(member, stage, "model " + needy.name() + " lacks replicas"));
      }
    }
    return true;
  }
}
