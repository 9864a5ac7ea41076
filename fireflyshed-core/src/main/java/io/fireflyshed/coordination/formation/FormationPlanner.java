package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ReplicaNameUtils;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.EngineReport;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which orders the engines of one service in one zone get.
 *
 * <p>It learns all that it knows from the engines' own reports, so a coordinator that takes over
 * needs nothing from its predecessor. Three rules keep each engine in one replica and each replica
 * whole. A replica is told to serve only after every member reported ready in this generation. An
 * engine is taken from a replica only after the replica's head reported that it left, or, if the
 * head is lost, after the engine itself did, which stops a head that lives on unseen. Each order
 * names the number of orders that the engine began before it, so an order that was delayed takes no
 * effect after a newer one.
 *
 * <p>Not thread safe; belongs to the control thread.
 */
public final class FormationPlanner {

  /** The generations that one epoch of the coordinator may use; the epoch is the higher part. */
  private static final long GENERATIONS_PER_EPOCH = 1_000_000;

  /** The time by which a replica that opens may be late before it is told again. */
  private static final Duration OPEN_MARGIN = Duration.ofMillis(300);

  /** The share that a model without work counts with. */
  private static final double MIN_SHARE = 0.01;

  /** A model with this many times the coverage of another gives engines up for it. */
  private static final double IMBALANCE = 1.8;

  private final FormationSettings settings;
  private final EngineProfile profile;
  private final LoadBudget loads;
  private long lastNewNanos;
  private final Map<InstanceId, EngineState> engines = new LinkedHashMap<>();
  private final Map<ReplicaId, ReplicaState> replicas = new LinkedHashMap<>();
  private Map<String, Integer> replicasElsewhere = Map.of();
  private long nextGeneration;
  private boolean isFenced;

  /**
   * Creates a planner for one term of a coordinator.
   *
   * @param settings the times and limits, not null
   * @param profile the engines and models of the service, not null
   * @param epoch the epoch of the coordinator's lease, which is the fencing token
   * @param isFirst whether no coordinator came before, so that no loads can have begun
   * @param nowNanos the reading of the monotonic clock
   */
  public FormationPlanner(
      FormationSettings settings,
      EngineProfile profile,
      long epoch,
      boolean isFirst,
      long nowNanos) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.profile = Objects.requireNonNull(profile, "profile");
    this.lastNewNanos = nowNanos;
    this.nextGeneration = epoch * GENERATIONS_PER_EPOCH + 1;
    this.loads = new LoadBudget(settings.loadWindow());
    double window = settings.loadWindow().toNanos() / 1e9;
    loads.setLimit((int) (profile.loadsPerSecond() * window * settings.loadShare()));
    if (!isFirst) {
      loads.fill(nowNanos);
    }
  }

  /**
   * Says whether loads are free, as before the first request of the deployment.
   *
   * @param isFree whether loads are not counted
   */
  public void setLoadsFree(boolean isFree) {
    loads.setUnlimited(isFree);
  }

  /**
   * Takes in how many replicas of each model serve in other zones, which serve this zone's callers
   * too.
   *
   * @param replicas the numbers by model, not null
   */
  public void setReplicasElsewhere(Map<String, Integer> replicas) {
    replicasElsewhere = Map.copyOf(replicas);
  }

  /**
   * Takes in the engines that the registry lists.
   *
   * @param listed the engines of the service in the zone, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onTargets(List<Target> listed, long nowNanos) {
    engines.values().forEach(e -> e.setListed(false));
    for (Target target : listed) {
      EngineState engine = engines.get(target.id());
      if (engine == null) {
        engines.put(target.id(), new EngineState(target));
        lastNewNanos = nowNanos;
      } else {
        boolean isNews = !engine.getTarget().equals(target) || !engine.isListed();
        engine.setTarget(target);
        if (isNews && !target.membership().equals(engine.getMembership())) {
          engine.requestReport();
        }
      }
    }
  }

  /**
   * Gets the engines that should be asked for a report now, and marks them as asked.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the engines, never null
   */
  public List<Target> takeDueReports(long nowNanos) {
    List<Target> due = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      if (engine.isReportDue(getInterval(engine), nowNanos)) {
        engine.onAsked(nowNanos);
        due.add(engine.getTarget());
      }
    }
    return due;
  }

  private Duration getInterval(EngineState engine) {
    Optional<Membership> membership = engine.getMembership();
    if (membership.isEmpty() || engine.isLost()) {
      return settings.spareInterval();
    }
    ReplicaState replica = replicas.get(membership.get().replica());
    boolean isSteady = replica != null && replica.getStage() == ReplicaState.Stage.SERVING;
    boolean isHeadOpening =
        membership.get().isHead() && membership.get().phase() != MembershipPhase.OPEN;
    return isSteady && !isHeadOpening ? settings.openInterval() : settings.formingInterval();
  }

  /**
   * Takes in a report.
   *
   * @param id the engine, not null
   * @param report the report, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onReport(InstanceId id, EngineReport report, long nowNanos) {
    EngineState engine = engines.get(id);
    if (engine == null) {
      return;
    }
    engine.onReport(report);
    report.membership().ifPresent(m -> onMembership(id, m, nowNanos));
  }

  private void onMembership(InstanceId id, Membership membership, long nowNanos) {
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

  /**
   * Takes in that an engine gave no report.
   *
   * @param id the engine, not null
   */
  public void onNoReport(InstanceId id) {
    EngineState engine = engines.get(id);
    if (engine != null) {
      engine.onNoReport();
    }
  }

  /**
   * Asks all members of a replica for reports at once, as when its head stands still.
   *
   * @param id the head, not null
   */
  public void onStalled(InstanceId id) {
    for (ReplicaState replica : replicas.values()) {
      if (replica.isLive() && id.equals(replica.getHead())) {
        replica.getMembers().stream()
            .map(this::getEngine)
            .flatMap(Optional::stream)
            .forEach(EngineState::suspect);
      }
    }
  }

  /**
   * Takes in the answer to an order.
   *
   * @param id the engine, not null
   * @param order the order, not null
   * @param reply the answer, not null
   * @param nowNanos the reading of the monotonic clock
   */
  public void onOrdered(InstanceId id, EngineOrder order, OrderReply reply, long nowNanos) {
    if (reply == OrderReply.FENCED) {
      isFenced = true;
    }
    getEngine(id).ifPresent(e -> e.onOrderAnswered(order, reply, nowNanos, profile.reportLag()));
  }

  /**
   * Tests whether an engine refused an order because a newer coordinator gave it orders.
   *
   * @return true if the term of this coordinator is over
   */
  public boolean isFenced() {
    return isFenced;
  }

  /**
   * Plans the orders to give now; each engine gets at most one, and none while one is on its way.
   *
   * @param nowNanos the reading of the monotonic clock
   * @return the orders, never null
   */
  public List<FormationOrder> plan(long nowNanos) {
    if (isFenced) {
      return List.of();
    }
    List<FormationOrder> orders = new ArrayList<>();
    replicas.values().forEach(r -> advance(r, nowNanos, orders));
    replicas.values().removeIf(this::isOver);
    engines.values().removeIf(e -> !e.isListed() && e.isLost() && !isMember(e));
    form(nowNanos, orders);
    for (FormationOrder order : orders) {
      engines.get(order.target().id()).onOrderSent();
    }
    return orders;
  }

  /** Tests whether the list of engines has settled, so that what is free is known. */
  private boolean isSettled(long nowNanos) {
    boolean isQuiet = nowNanos - lastNewNanos > settings.patience().toNanos();
    return isQuiet && areAllReported();
  }

  private boolean isMember(EngineState engine) {
    InstanceId id = engine.getTarget().id();
    return replicas.values().stream().anyMatch(r -> r.getMembers().contains(id));
  }

  private Optional<EngineState> getEngine(InstanceId id) {
    return id == null ? Optional.empty() : Optional.ofNullable(engines.get(id));
  }

  private Optional<ModelProfile> getModel(String name) {
    return profile.models().stream().filter(m -> m.name().equals(name)).findFirst();
  }

  /** Moves a replica on: opens it when it is ready, ends it when it lost a member. */
  private void advance(ReplicaState replica, long nowNanos, List<FormationOrder> orders) {
    Optional<EngineState> head = getEngine(replica.getHead());
    if (head.isEmpty() || head.get().isLost()) {
      releaseSurvivors(replica, orders);
      return;
    }
    EngineState engine = head.get();
    if (!engine.isKnown()) {
      return;
    }
    Optional<Membership> membership = engine.getMembership().filter(replica::isSame);
    if (membership.isEmpty()) {
      if (replica.getStage() != ReplicaState.Stage.FORMING || isJoinOver(engine)) {
        replica.setStage(ReplicaState.Stage.DISSOLVING);
      }
      return;
    }
    switch (membership.get().phase()) {
      case JOINING, READY -> advanceForming(replica, engine, nowNanos, orders);
      case OPEN -> advanceServing(replica, engine, orders);
      case CLOSING -> advanceClosing(replica, engine, orders);
      case BROKEN -> dissolve(replica, engine, "the replica is broken", orders);
      default -> throw new IllegalStateException("unknown phase");
    }
  }

  /** Lets the members of a replica whose head is lost leave, which stops a head that lives on. */
  private void releaseSurvivors(ReplicaState replica, List<FormationOrder> orders) {
    replica.setStage(ReplicaState.Stage.DISSOLVING);
    for (InstanceId id : replica.getMembers()) {
      Optional<EngineState> member = getEngine(id).filter(EngineState::isOrderable);
      if (member.flatMap(EngineState::getMembership).filter(replica::isSame).isPresent()) {
        EngineOrder leave = new EngineOrder.Leave(replica.getId(), replica.getGeneration());
        order(member.get(), leave, "head " + replica.getHead() + " is lost", orders);
      }
    }
  }

  /** Tests whether the state of an engine after its join is known. */
  private static boolean isJoinOver(EngineState engine) {
    return engine.isOrderable();
  }

  private void advanceForming(
      ReplicaState replica, EngineState head, long nowNanos, List<FormationOrder> orders) {
    if (replica.getStage() == ReplicaState.Stage.CLOSING
        || replica.getStage() == ReplicaState.Stage.DISSOLVING) {
      dissolve(replica, head, "the replica is closed", orders);
      return;
    }
    Optional<String> defect = findDefect(replica, true);
    if (defect.isPresent()) {
      dissolve(replica, head, defect.get(), orders);
      return;
    }
    if (nowNanos - replica.getStartNanos() > settings.formTimeout().toNanos()) {
      dissolve(replica, head, "the replica took too long to form", orders);
      return;
    }
    long opening = profile.openTime().plus(profile.reportLag()).plus(OPEN_MARGIN).toNanos();
    if (replica.isOpening(nowNanos, opening)) {
      return;
    }
    if (head.isOrderable() && isWholeAndReady(replica)) {
      replica.setOpenOrdered(nowNanos);
      order(head, newOpen(replica), "all members are ready", orders);
    }
  }

  private static EngineOrder newOpen(ReplicaState replica) {
    return new EngineOrder.Open(replica.getId(), replica.getGeneration());
  }

  private boolean isWholeAndReady(ReplicaState replica) {
    for (InstanceId id : replica.getMembers()) {
      boolean isReady =
          getEngine(id)
              .filter(e -> !e.isLost())
              .flatMap(EngineState::getMembership)
              .filter(replica::isSame)
              .filter(m -> m.phase() == MembershipPhase.READY)
              .isPresent();
      if (!isReady) {
        return false;
      }
    }
    return !replica.getMembers().isEmpty();
  }

  private void advanceServing(ReplicaState replica, EngineState head, List<FormationOrder> orders) {
    if (replica.getStage() == ReplicaState.Stage.DISSOLVING) {
      dissolve(replica, head, "the replica is dissolved", orders);
      return;
    }
    replica.setStage(ReplicaState.Stage.SERVING);
    Optional<String> defect = findDefect(replica, false);
    if (defect.isPresent()) {
      dissolve(replica, head, defect.get(), orders);
      return;
    }
    Optional<InstanceId> leaving =
        replica.getMembers().stream()
            .filter(id -> getEngine(id).filter(EngineState::isLeaving).isPresent())
            .findFirst();
    leaving.ifPresent(id -> close(replica, "member " + id + " leaves", orders));
  }

  private void advanceClosing(ReplicaState replica, EngineState head, List<FormationOrder> orders) {
    replica.setStage(ReplicaState.Stage.CLOSING);
    findDefect(replica, false).ifPresent(defect -> dissolve(replica, head, defect, orders));
  }

  /** Finds a member that is lost or left, which stops the replica for good. */
  private Optional<String> findDefect(ReplicaState replica, boolean isForming) {
    for (InstanceId id : replica.getMembers()) {
      if (id == null) {
        if (areAllReported()) {
          return Optional.of("a member is missing");
        }
        continue;
      }
      Optional<EngineState> engine = getEngine(id);
      if (engine.isEmpty() || engine.get().isLost()) {
        return Optional.of("member " + id + " is lost");
      }
      EngineState member = engine.get();
      if (isForming && member.isLeaving()) {
        return Optional.of("member " + id + " leaves");
      }
      boolean isIn = member.getMembership().filter(replica::isSame).isPresent();
      if (!isIn && (!isForming || isJoinOver(member)) && member.isKnown()) {
        return Optional.of("member " + id + " is no longer in the replica");
      }
    }
    return Optional.empty();
  }

  private boolean areAllReported() {
    return engines.values().stream().allMatch(e -> e.isKnown() || e.isLost());
  }

  private void dissolve(
      ReplicaState replica, EngineState head, String reason, List<FormationOrder> orders) {
    replica.setStage(ReplicaState.Stage.DISSOLVING);
    if (head.isOrderable()) {
      EngineOrder leave = new EngineOrder.Leave(replica.getId(), replica.getGeneration());
      order(head, leave, reason, orders);
    }
  }

  private static void order(
      EngineState engine, EngineOrder order, String reason, List<FormationOrder> orders) {
    orders.add(new FormationOrder(engine.getTarget(), order, engine.getOrderSequence(), reason));
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

  /** Tests whether an engine may be given to another replica. */
  private boolean isFree(EngineState engine) {
    if (!engine.isOrderable() || engine.isLeaving()) {
      return false;
    }
    Optional<Membership> membership =
        engine.getMembership().filter(m -> !ReplicaNameUtils.isSpare(m.replica()));
    if (membership.isEmpty()) {
      return replicas.values().stream()
          .noneMatch(r -> r.isLive() && r.getMembers().contains(engine.getTarget().id()));
    }
    ReplicaState replica = replicas.get(membership.get().replica());
    if (replica == null) {
      return getModel(membership.get().getModel()).isEmpty();
    }
    if (replica.isLive() || replica.getStage() == ReplicaState.Stage.CLOSING) {
      return false;
    }
    return isHeadOut(replica);
  }

  /** Tests whether the head of a dissolved replica reported that it left. */
  private boolean isHeadOut(ReplicaState replica) {
    return getEngine(replica.getHead())
        .filter(e -> !e.isLost() && e.isKnown())
        .filter(e -> e.getMembership().filter(replica::isSame).isEmpty())
        .isPresent();
  }

  /** Forms replicas of the free engines of each domain and stages models on those left over. */
  private void form(long nowNanos, List<FormationOrder> orders) {
    Map<String, List<EngineState>> domains = new LinkedHashMap<>();
    Set<InstanceId> ordered = new HashSet<>();
    orders.forEach(o -> ordered.add(o.target().id()));
    for (EngineState engine : engines.values()) {
      if (!ordered.contains(engine.getTarget().id()) && isFree(engine)) {
        String domain = engine.getDomain();
        domains.computeIfAbsent(domain, d -> new ArrayList<>()).add(engine);
      }
    }
    for (List<EngineState> free : domains.values()) {
      formDomain(free, nowNanos, orders);
    }
    if (!isSettled(nowNanos)) {
      return;
    }
    for (String domain : getDomains()) {
      if (!isChanging(domain)) {
        rebalance(domain, domains.getOrDefault(domain, List.of()), nowNanos, orders);
      }
    }
    for (Map.Entry<String, List<EngineState>> entry : domains.entrySet()) {
      if (!isChanging(entry.getKey())) {
        List<EngineState> spares = entry.getValue();
        readySpares(entry.getKey(), spares, nowNanos, orders);
        orders.forEach(o -> spares.removeIf(e -> e.getTarget() == o.target()));
      }
    }
  }

  private Set<String> getDomains() {
    Set<String> domains = new LinkedHashSet<>();
    engines.values().stream().filter(EngineState::isKnown).forEach(e -> domains.add(e.getDomain()));
    return domains;
  }

  private void formDomain(List<EngineState> free, long nowNanos, List<FormationOrder> orders) {
    while (true) {
      Optional<Candidate> best = chooseCandidate(free, isSettled(nowNanos));
      if (best.isEmpty() || !loads.isAllowed(best.get().loads(), nowNanos)) {
        return;
      }
      boolean isQuick = best.get().time().compareTo(settings.quick()) <= 0;
      if (!isQuick && isChanging(free.get(0).getDomain())) {
        return;
      }
      Candidate candidate = best.get();
      loads.begin(candidate.loads(), nowNanos);
      long generation = nextGeneration++;
      ReplicaId id = ReplicaNameUtils.newId(candidate.model().name(), generation);
      List<InstanceId> members = candidate.members().stream().map(e -> e.getTarget().id()).toList();
      replicas.put(id, new ReplicaState(id, generation, members, nowNanos));
      EngineOrder join = new EngineOrder.Join(id, generation, candidate.model().name(), members);
      String reason = "form in " + candidate.time().toMillis() + " ms";
      candidate.members().forEach(e -> order(e, join, reason, orders));
      free.removeAll(candidate.members());
    }
  }

  /**
   * Tests whether engines of a domain are about to become free, which may allow a better choice.
   */
  private boolean isChanging(String domain) {
    for (EngineState engine : engines.values()) {
      if (!engine.isKnown() || !engine.getDomain().equals(domain) || engine.isLost()) {
        continue;
      }
      boolean isEnding =
          engine
              .getMembership()
              .map(m -> replicas.get(m.replica()))
              .filter(r -> !r.isLive())
              .isPresent();
      boolean isWaited = isEnding || !engine.isOrderable();
      if (!engine.isLeaving() && isWaited && !isFree(engine)) {
        return true;
      }
    }
    return false;
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
    for (ReplicaState replica : replicas.values()) {
      if (replica.isLive()) {
        getModel(replica.getModel())
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
        (a, b) -> {
          int byTime = getJoinTime(a, model).compareTo(getJoinTime(b, model));
          return byTime != 0
              ? byTime
              : Integer.compare(getOtherUse(a, model), getOtherUse(b, model));
        });
    List<EngineState> members = new ArrayList<>(sorted.subList(0, model.size()));
    Duration time = getJoinTime(members.get(members.size() - 1), model);
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
      String domain, List<EngineState> spares, long nowNanos, List<FormationOrder> orders) {
    List<EngineState> idle = new ArrayList<>(spares);
    List<ModelProfile> wanted =
        profile.models().stream()
            .filter(m -> isWanted(m.name(), domain))
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

  private void ready(
      EngineState spare, ModelProfile model, long nowNanos, List<FormationOrder> orders) {
    int cold = isCold(spare, model) ? 1 : 0;
    if (!loads.isAllowed(cold, nowNanos)) {
      return;
    }
    loads.begin(cold, nowNanos);
    long generation = nextGeneration++;
    ReplicaId id = ReplicaNameUtils.newSpareId(model.name(), generation);
    List<InstanceId> self = List.of(spare.getTarget().id());
    EngineOrder join = new EngineOrder.Join(id, generation, model.name(), self);
    order(spare, join, "keep as a spare", orders);
  }

  /**
   * Moves engines of a domain from a model that has far more than its share to the one that has
   * least: loads the model beside the work that goes on, then closes what must give way.
   */
  private void rebalance(
      String domain, List<EngineState> free, long nowNanos, List<FormationOrder> orders) {
    Map<String, Double> coverage = getCoverage();
    ModelProfile needy = getNeediest(coverage).orElseThrow();
    List<EngineState> pool = new ArrayList<>(free);
    List<ReplicaState> givers = new ArrayList<>();
    for (ReplicaState replica : replicas.values()) {
      boolean isRich =
          replica.getStage() == ReplicaState.Stage.SERVING
              && !replica.getModel().equals(needy.name())
              && coverage.getOrDefault(replica.getModel(), 0.0)
                  > IMBALANCE * coverage.get(needy.name());
      if (pool.size() < needy.size() && isRich && isIn(replica, domain)) {
        givers.add(replica);
        replica.getMembers().stream()
            .map(this::getEngine)
            .flatMap(Optional::stream)
            .filter(e -> !e.isLeaving() && e.isOrderable())
            .forEach(pool::add);
      }
    }
    if (givers.isEmpty() || pool.size() < needy.size()) {
      return;
    }
    Candidate candidate = newCandidate(needy, pool);
    if (candidate.loads() == 0) {
      givers.forEach(r -> close(r, "model " + needy.name() + " lacks replicas", orders));
      return;
    }
    for (EngineState member : candidate.members()) {
      if (isCold(member, needy) && !member.isBusy() && loads.isAllowed(1, nowNanos)) {
        loads.begin(1, nowNanos);
        EngineOrder stage = new EngineOrder.Stage(needy.name());
        order(member, stage, "model " + needy.name() + " lacks replicas", orders);
      }
    }
  }

  private void close(ReplicaState replica, String reason, List<FormationOrder> orders) {
    EngineState head = getEngine(replica.getHead()).orElseThrow();
    if (head.isOrderable()) {
      order(head, new EngineOrder.Close(replica.getId(), replica.getGeneration()), reason, orders);
      replica.setStage(ReplicaState.Stage.CLOSING);
    }
  }

  private boolean isIn(ReplicaState replica, String domain) {
    return getEngine(replica.getHead())
        .filter(e -> e.isKnown() && e.getDomain().equals(domain))
        .isPresent();
  }

  /** Tests whether a live replica of a model has members in a domain. */
  private boolean isWanted(String model, String domain) {
    return replicas.values().stream()
        .filter(r -> r.isLive() && r.getModel().equals(model))
        .flatMap(r -> r.getMembers().stream())
        .map(this::getEngine)
        .flatMap(Optional::stream)
        .anyMatch(e -> e.isKnown() && e.getDomain().equals(domain));
  }
}
