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
 * Forms replicas from free engines, keeps warm spares and moves engines from one model to another.
 * Not thread safe.
 *
 * <p>A {@link ModelBalance} tells which model needs engines most.
 */
final class ReplicaAllocator {

  /** Free engines of a domain, beyond its usual spares, from which the lower factor applies. */
  private static final int MIN_FREE_FOR_LOWER_RATIO = 3;

  private final FormationSettings settings;
  private final EngineProfile profile;
  private final FormationState state;
  private final ReplicaMaintainer maintainer;
  private final LoadBudget loadBudget;
  private final ShareBalance shares = new ShareBalance();
  private final UsageBalance usage = new UsageBalance();
  private Map<String, Integer> replicasInOtherZones = Map.of();

  ReplicaAllocator(
      FormationSettings settings,
      FormationState state,
      ReplicaMaintainer maintainer,
      LoadBudget loadBudget) {
    this.settings = settings;
    this.profile = state.getProfile();
    this.state = state;
    this.maintainer = maintainer;
    this.loadBudget = loadBudget;
  }

  /** Records the usage of the models, by which engines are allocated from then on. */
  void recordUsage(Map<String, Double> busyReplicas, long nowNanos) {
    usage.recordUsage(busyReplicas, nowNanos);
  }

  void setZonesBefore(Map<String, Integer> zones) {
    usage.setZonesBefore(zones);
  }

  private ModelBalance getBalance() {
    return usage.isKnown() ? usage : shares;
  }

  void setReplicasInOtherZones(Map<String, Integer> replicas) {
    replicasInOtherZones = Map.copyOf(replicas);
    shares.setReplicasInOtherZones(replicasInOtherZones);
  }

  /**
   * Forms replicas from the free engines of each domain and prepares the remaining ones as spares.
   */
  void formReplicas(boolean isEngineListSettled, long nowNanos, OrderBatch orders) {
    Map<String, List<EngineState>> domains = new LinkedHashMap<>();
    for (EngineState engine : state.getEngines()) {
      if (!orders.hasOrderFor(engine.getTarget().id()) && state.isFree(engine)) {
        String domain = engine.getDomain();
        domains.computeIfAbsent(domain, d -> new ArrayList<>()).add(engine);
      }
    }
    for (List<EngineState> free : domains.values()) {
      formReplicasInDomain(free, isEngineListSettled, nowNanos, orders);
    }
    if (!isEngineListSettled) {
      return;
    }
    for (String domain : state.getDomains()) {
      if (state.isReleasePending(domain)) {
        continue;
      }
      List<EngineState> free = domains.getOrDefault(domain, List.of());
      // A spare that joins for another model would discard the weights that rebalancing stages on
      // it.
      boolean isRebalancing = rebalance(domain, free, nowNanos, orders);
      if (!isRebalancing) {
        prepareSpares(domain, free, nowNanos, orders);
      }
    }
  }

  private void formReplicasInDomain(
      List<EngineState> free, boolean isEngineListSettled, long nowNanos, OrderBatch orders) {
    while (true) {
      Optional<Candidate> best = chooseCandidate(free, isEngineListSettled, nowNanos);
      if (best.filter(c -> isLoading(c, nowNanos)).isPresent()) {
        // To take a spare that still loads would begin the load anew.
        free.removeAll(best.get().members());
        continue;
      }
      if (best.isEmpty() || !loadBudget.isAllowed(best.get().loadCount(), nowNanos)) {
        return;
      }
      boolean isQuick = best.get().formTime().compareTo(settings.quickFormTime()) <= 0;
      String domain = free.get(0).getDomain();
      if (!isQuick && (state.isReleasePending(domain) || shouldReserve(best.get(), free, domain))) {
        return;
      }
      boolean isLoadNeeded = best.get().loadCount() > 0 && !loadBudget.isUnlimited();
      if (isLoadNeeded && !isEngineListSettled) {
        // Engines that are about to be listed may hold the weights.
        return;
      }
      Candidate candidate = best.get();
      loadBudget.recordStarts(candidate.loadCount(), nowNanos);
      long generation = state.nextGeneration();
      ReplicaId id = ReplicaNameUtils.newId(candidate.model().name(), generation);
      List<InstanceId> members = candidate.members().stream().map(e -> e.getTarget().id()).toList();
      ReplicaState replica = new ReplicaState(id, generation, members, nowNanos);
      candidate.members().forEach(e -> replica.recordStart(e.getTarget().id(), e.getStartMillis()));
      state.add(replica);
      EngineOrder join = new EngineOrder.Join(id, generation, candidate.model().name(), members);
      String reason =
          "forming a replica, expected to take " + candidate.formTime().toMillis() + " ms";
      candidate.members().forEach(e -> orders.add(FormationOrder.of(e, join, reason)));
      free.removeAll(candidate.members());
    }
  }

  /**
   * Tests whether the free engines of a domain should be kept for the least covered model rather
   * than form a candidate now. That is so if they suffice for it together with the replicas of the
   * domain that can be reclaimed.
   */
  private boolean shouldReserve(Candidate candidate, List<EngineState> free, String domain) {
    Map<String, Integer> replicas = countReplicas();
    ModelProfile leastCovered = getLeastCovered(replicas).orElseThrow();
    return !candidate.model().name().equals(leastCovered.name())
        && getBalance().isWaitWorthwhile(candidate.model(), leastCovered, replicas)
        && free.size() + countReclaimable(leastCovered, domain) >= leastCovered.size();
  }

  private int countReclaimable(ModelProfile leastCovered, String domain) {
    return state.getReplicas().stream()
        .filter(
            r ->
                r.isLive()
                    && !r.getModel().equals(leastCovered.name())
                    && state.isHeadIn(r, domain))
        .mapToInt(r -> r.getMembers().size())
        .sum();
  }

  /**
   * A replica that could be formed, with the expected time and the number of loads that it takes.
   */
  private record Candidate(
      ModelProfile model, List<EngineState> members, Duration formTime, int loadCount) {}

  /**
   * Chooses the least covered model among those that can form a replica quickly, or among all if
   * none can. While engines are still being added, only the least covered model is considered, so
   * that a small replica doesn't take the engines that a large one needs.
   */
  private Optional<Candidate> chooseCandidate(
      List<EngineState> free, boolean isEngineListSettled, long nowNanos) {
    Map<String, Integer> replicas = countReplicas();
    if (!isEngineListSettled) {
      return getLeastCovered(replicas)
          .filter(m -> free.size() >= m.size())
          .map(m -> newCandidate(m, free, nowNanos));
    }
    Candidate best = null;
    for (ModelProfile model : profile.models()) {
      if (free.size() < model.size()) {
        continue;
      }
      Candidate candidate = newCandidate(model, free, nowNanos);
      if (best == null || isBetter(candidate, best, replicas)) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private Optional<ModelProfile> getLeastCovered(Map<String, Integer> replicas) {
    return profile.models().stream()
        .min(
            Comparator.comparingDouble((ModelProfile m) -> getCoverage(m, replicas))
                .thenComparing(Comparator.comparingInt(ModelProfile::size).reversed()));
  }

  private boolean isBetter(Candidate one, Candidate other, Map<String, Integer> replicas) {
    boolean isQuick = one.formTime().compareTo(settings.quickFormTime()) <= 0;
    boolean isOtherQuick = other.formTime().compareTo(settings.quickFormTime()) <= 0;
    if (isQuick != isOtherQuick) {
      return isQuick;
    }
    int byCoverage =
        Double.compare(getCoverage(one.model(), replicas), getCoverage(other.model(), replicas));
    return byCoverage != 0 ? byCoverage < 0 : one.model().size() > other.model().size();
  }

  private double getCoverage(ModelProfile model, Map<String, Integer> replicas) {
    return getBalance().getCoverage(model, replicas.get(model.name()));
  }

  /** Counts the replicas of each model in this and other zones. */
  private Map<String, Integer> countReplicas() {
    Map<String, Integer> replicas = new HashMap<>();
    for (ModelProfile model : profile.models()) {
      replicas.put(model.name(), replicasInOtherZones.getOrDefault(model.name(), 0));
    }
    for (ReplicaState replica : state.getReplicas()) {
      if (replica.isLive()) {
        replicas.computeIfPresent(replica.getModel(), (model, count) -> count + 1);
      }
    }
    return replicas;
  }

  private Candidate newCandidate(ModelProfile model, List<EngineState> free, long nowNanos) {
    List<EngineState> sorted = new ArrayList<>(free);
    sorted.sort(
        Comparator.comparing((EngineState e) -> getJoinTime(e, model, nowNanos))
            .thenComparing(e -> !e.isListed())
            .thenComparing(e -> getOtherUseRank(e, model)));
    List<EngineState> members = new ArrayList<>(sorted.subList(0, model.size()));
    Duration formTime = getJoinTime(members.get(members.size() - 1), model, nowNanos);
    // Entries find a replica by its head, so the head must be listed in the registry.
    members.sort(Comparator.comparing(e -> !e.isListed()));
    int coldCount = (int) members.stream().filter(e -> isCold(e, model)).count();
    return new Candidate(model, members, formTime, coldCount);
  }

  /** Ranks engines that hold the weights of another model only (1) behind all others (0). */
  private static int getOtherUseRank(EngineState engine, ModelProfile model) {
    Set<String> staged = engine.getStagedModels();
    return staged.isEmpty() || staged.contains(model.name()) ? 0 : 1;
  }

  private Duration getJoinTime(EngineState engine, ModelProfile model, long nowNanos) {
    if (engine.getLastModel().equals(model.name())) {
      return settings.rejoinTime();
    }
    if (engine.isJoining() && engine.holds(model.name())) {
      Duration elapsed = Duration.ofNanos(nowNanos - engine.getMembershipNanos());
      Duration rest = model.load().minus(elapsed);
      return settings.rejoinTime().plus(rest.isNegative() ? Duration.ZERO : rest);
    }
    return isCold(engine, model) ? model.load() : model.warmup();
  }

  private static boolean isCold(EngineState engine, ModelProfile model) {
    return !engine.holds(model.name()) && !engine.getStagedModels().contains(model.name());
  }

  /** Tests whether a member of a candidate is a spare that still loads the weights of its model. */
  private boolean isLoading(Candidate candidate, long nowNanos) {
    long timeoutNanos = settings.formTimeout().toNanos();
    return candidate.members().stream()
        .filter(e -> e.isJoining() && e.holds(candidate.model().name()))
        .anyMatch(e -> nowNanos - e.getMembershipNanos() <= timeoutNanos);
  }

  /**
   * Keeps a warm spare for each model that has a replica in the domain while there are engines, the
   * model with the largest replicas first, since it loses members most often.
   */
  private void prepareSpares(
      String domain, List<EngineState> spares, long nowNanos, OrderBatch orders) {
    List<EngineState> idle = new ArrayList<>(spares);
    List<ModelProfile> models =
        profile.models().stream()
            .filter(m -> state.hasLiveReplica(m.name(), domain))
            .sorted(Comparator.comparingInt(ModelProfile::size).reversed())
            .limit(spares.size())
            .toList();
    for (ModelProfile model : models) {
      if (idle.removeIf(firstMatch(e -> e.holds(model.name())))) {
        continue;
      }
      Optional<EngineState> best =
          idle.stream()
              .filter(e -> !e.isBusy())
              .min(Comparator.comparing(e -> getJoinTime(e, model, nowNanos)));
      if (best.isPresent()) {
        idle.remove(best.get());
        joinSpare(best.get(), model, nowNanos, orders);
      }
    }
  }

  /** Returns a predicate that accepts only the first element that the given one accepts. */
  private static Predicate<EngineState> firstMatch(Predicate<EngineState> filter) {
    boolean[] isFound = new boolean[1];
    return e -> !isFound[0] && (isFound[0] = filter.test(e));
  }

  private void joinSpare(EngineState spare, ModelProfile model, long nowNanos, OrderBatch orders) {
    int coldCount = isCold(spare, model) ? 1 : 0;
    if (!loadBudget.isAllowed(coldCount, nowNanos)) {
      return;
    }
    loadBudget.recordStarts(coldCount, nowNanos);
    long generation = state.nextGeneration();
    ReplicaId id = ReplicaNameUtils.newSpareId(model.name(), generation);
    List<InstanceId> members = List.of(spare.getTarget().id());
    EngineOrder join = new EngineOrder.Join(id, generation, model.name(), members);
    orders.add(FormationOrder.of(spare, join, "keeping the engine as a warm spare"));
  }

  /** Tests whether a replica may be closed for the sake of another model. */
  private boolean mayGive(
      ReplicaState replica,
      ModelProfile receiver,
      Map<String, Integer> replicas,
      boolean hasFreeEngines) {
    Optional<ModelProfile> donor = state.getModel(replica.getModel());
    return donor.filter(d -> !d.name().equals(receiver.name())).isPresent()
        && getBalance().isMoveWorthwhile(donor.get(), receiver, replicas, hasFreeEngines);
  }

  /**
   * Moves engines of a domain from models with far more coverage to the least covered one. Stages
   * the model on the engines while they still serve, then closes the replicas that give up engines.
   *
   * @return whether engines of the domain are being moved
   */
  private boolean rebalance(
      String domain, List<EngineState> free, long nowNanos, OrderBatch orders) {
    Map<String, Integer> replicas = countReplicas();
    ModelProfile leastCovered = getLeastCovered(replicas).orElseThrow();
    List<EngineState> pool = new ArrayList<>(free);
    List<ReplicaState> donors = new ArrayList<>();
    boolean hasFreeEngines = free.size() >= MIN_FREE_FOR_LOWER_RATIO;
    for (ReplicaState replica : state.getReplicas()) {
      boolean isOverCovered =
          replica.getStage() == ReplicaState.Stage.SERVING
              && !orders.hasOrderFor(replica.getHead())
              && mayGive(replica, leastCovered, replicas, hasFreeEngines);
      if (pool.size() < leastCovered.size() && isOverCovered && state.isHeadIn(replica, domain)) {
        donors.add(replica);
        if (getBalance() == usage) {
          replicas.merge(replica.getModel(), -1, Integer::sum);
        }
        replica.getMembers().stream()
            .map(state::getEngine)
            .flatMap(Optional::stream)
            .filter(e -> !e.isLeaving() && e.isOrderable())
            .filter(e -> !orders.hasOrderFor(e.getTarget().id()))
            .forEach(pool::add);
      }
    }
    if (donors.isEmpty() || pool.size() < leastCovered.size()) {
      return false;
    }
    Candidate candidate = newCandidate(leastCovered, pool, nowNanos);
    if (candidate.loadCount() == 0 && !isLoading(candidate, nowNanos)) {
      donors.forEach(
          r ->
              maintainer.close(
                  r, "model " + leastCovered.name() + " has too few replicas", orders));
      return true;
    }
    for (EngineState member : candidate.members()) {
      if (isCold(member, leastCovered) && !member.isBusy() && loadBudget.isAllowed(1, nowNanos)) {
        loadBudget.recordStarts(1, nowNanos);
        EngineOrder stage = new EngineOrder.Stage(leastCovered.name());
        orders.add(
            FormationOrder.of(
                member, stage, "model " + leastCovered.name() + " has too few replicas"));
      }
    }
    return true;
  }
}
