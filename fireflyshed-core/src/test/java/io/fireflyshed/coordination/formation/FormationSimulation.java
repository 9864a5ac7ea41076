package io.fireflyshed.coordination.formation;

import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.EngineProfile;
import io.fireflyshed.state.traffic.ModelProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs planners against simulated engines in virtual time and checks invariants.
 *
 * <p>Reports lag, replies get lost and orders arrive late. A planner may be replaced by a successor
 * without any state while orders of the old one are still in flight.
 */
final class FormationSimulation {

  static final ModelProfile LARGE =
      new ModelProfile("large", 6, 0.67, 1, Duration.ofSeconds(16), Duration.ofMillis(1600));
  static final ModelProfile SMALL =
      new ModelProfile("small", 3, 0.33, 0.6, Duration.ofSeconds(12), Duration.ofMillis(1100));
  static final long STEP_MILLIS = 50;
  private static final long REPORT_LAG_MILLIS = 200;
  private static final long TIMEOUT_MILLIS = 300;
  private static final int DOMAIN_SIZE = 11;

  final Map<InstanceId, SimulatedEngine> engines = new LinkedHashMap<>();
  final List<String> violations = new ArrayList<>();
  final UniformRandomProvider random;
  final EngineProfile profile;
  double replyLossRate;
  double lateOrderRate;
  Set<InstanceId> unreachable = new HashSet<>();

  /** The engines to which connections are refused at once. */
  final Set<InstanceId> refusing = new HashSet<>();

  FormationPlanner planner;
  private GenerationCounter generations;
  long epoch;
  long nowMillis;

  /** Whether the coordinator pauses, as while its entry is impaired. */
  boolean isPaused;

  /** The number of report requests. */
  int reports;

  int joins;
  int leaves;
  int conflicts;
  private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
  private final Map<String, Set<InstanceId>> everReady = new HashMap<>();

  FormationSimulation(long seed, int domains) {
    this(seed, domains, 100);
  }

  FormationSimulation(long seed, int domains, double loadsPerSecond) {
    this(seed, domains, DOMAIN_SIZE, loadsPerSecond, List.of(LARGE, SMALL));
  }

  FormationSimulation(
      long seed, int domains, int domainSize, double loadsPerSecond, List<ModelProfile> models) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    profile =
        new EngineProfile(
            18,
            Duration.ofMillis(6),
            Duration.ofNanos(100_000),
            6,
            56_100,
            2048,
            150,
            loadsPerSecond,
            8,
            Duration.ofMillis(300),
            Duration.ofMillis(REPORT_LAG_MILLIS),
            models);
    for (int d = 0; d < domains; d++) {
      for (int i = 0; i < domainSize; i++) {
        add("e" + d + "-" + i, "d" + d);
      }
    }
    startSuccessor();
  }

  SimulatedEngine add(String id, String domain) {
    SimulatedEngine engine = new SimulatedEngine(id, domain);
    engines.put(engine.id, engine);
    return engine;
  }

  /** Replaces the planner by a successor in another process, with a higher epoch. */
  void startSuccessor() {
    epoch++;
    generations = new GenerationCounter();
    restartPlanner();
  }

  /** Replaces the planner by one with the same epoch, as after a lease lapsed and was renewed. */
  void restartPlanner() {
    boolean isFirst = epoch == 1 && nowMillis == 0;
    planner =
        new FormationPlanner(
            FormationSettings.of(Duration.ofSeconds(5), 1),
            profile,
            epoch,
            generations,
            isFirst,
            nowNanos());
  }

  private long nowNanos() {
    return Duration.ofMillis(nowMillis).toNanos();
  }

  /** Ends a pause; the planner starts from fresh reports. */
  void resume() {
    isPaused = false;
    planner.forget(nowNanos());
  }

  void run(Duration duration) {
    long end = nowMillis + duration.toMillis();
    while (nowMillis < end) {
      step();
    }
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    while (!events.isEmpty() && events.firstKey() <= nowMillis) {
      events.pollFirstEntry().getValue().forEach(Runnable::run);
    }
    engines.values().stream().filter(e -> e.isAlive).forEach(e -> e.advance(nowMillis));
    checkServingReplicas();
    if (isPaused) {
      return;
    }
    List<Target> listed =
        engines.values().stream().filter(e -> e.isAlive).map(SimulatedEngine::toTarget).toList();
    FormationPlanner current = planner;
    current.updateTargets(listed, nowNanos());
    current.pollDueReports(nowNanos()).forEach(t -> requestReport(current, t.id()));
    List<FormationOrder> orders = current.plan(nowNanos());
    checkOneOrderPerEngine(orders);
    orders.forEach(o -> sendOrder(current, epoch, o));
  }

  /** Checks that a plan contains at most one order per engine. */
  private void checkOneOrderPerEngine(List<FormationOrder> orders) {
    Map<InstanceId, FormationOrder> ordered = new HashMap<>();
    for (FormationOrder order : orders) {
      FormationOrder other = ordered.put(order.target().id(), order);
      if (other != null) {
        violations.add(nowMillis + " ms: two orders in one plan: " + other + ", " + order);
      }
    }
  }

  private void schedule(long millis, Runnable event) {
    events.computeIfAbsent(millis, m -> new ArrayList<>()).add(event);
  }

  private void requestReport(FormationPlanner requester, InstanceId id) {
    reports++;
    SimulatedEngine engine = engines.get(id);
    if (refusing.contains(id)) {
      schedule(nowMillis + STEP_MILLIS, () -> requester.recordReportFailure(id));
      return;
    }
    if (!engine.isAlive || unreachable.contains(id)) {
      schedule(nowMillis + TIMEOUT_MILLIS, () -> requester.recordReportTimeout(id, nowNanos()));
      return;
    }
    var report = engine.report(nowMillis, REPORT_LAG_MILLIS);
    schedule(nowMillis + STEP_MILLIS, () -> requester.recordReport(id, report, nowNanos()));
  }

  private void sendOrder(FormationPlanner sender, long token, FormationOrder order) {
    SimulatedEngine engine = engines.get(order.target().id());
    if (order.order() instanceof EngineOrder.Join) {
      joins++;
    } else if (order.order() instanceof EngineOrder.Leave) {
      leaves++;
    }
    boolean isLost =
        !engine.isAlive || unreachable.contains(engine.id) || refusing.contains(engine.id);
    boolean isLate = random.nextDouble() < lateOrderRate;
    if (isLost || isLate) {
      if (isLate) {
        schedule(nowMillis + 2000 + random.nextInt(10_000), () -> apply(engine, token, order));
      }
      schedule(
          nowMillis + TIMEOUT_MILLIS,
          () -> sender.recordOrderReply(engine.id, order.order(), OrderReply.UNKNOWN, nowNanos()));
      return;
    }
    OrderReply reply = apply(engine, token, order);
    OrderReply receivedReply = random.nextDouble() < replyLossRate ? OrderReply.UNKNOWN : reply;
    schedule(
        nowMillis + STEP_MILLIS,
        () -> sender.recordOrderReply(engine.id, order.order(), receivedReply, nowNanos()));
  }

  private OrderReply apply(SimulatedEngine engine, long token, FormationOrder order) {
    if (!engine.isAlive) {
      return OrderReply.UNKNOWN;
    }
    Membership before = engine.membership;
    List<InstanceId> membersBefore = engine.members;
    OrderReply reply =
        engine.handleOrder(
            order.order(), token, order.orderSequence(), profile.models(), nowMillis);
    if (reply == OrderReply.CONFLICT) {
      conflicts++;
    }
    if (reply == OrderReply.BEGUN && order.order() instanceof EngineOrder.Join && before != null) {
      checkReassignment(engine, before, membersBefore);
    }
    return reply;
  }

  /** Checks that an engine is not taken from a replica whose head serves. */
  private void checkReassignment(
      SimulatedEngine engine, Membership before, List<InstanceId> members) {
    SimulatedEngine head = members.isEmpty() ? null : engines.get(members.get(0));
    boolean isServing =
        head != null
            && head.isAlive
            && head != engine
            && head.membership != null
            && head.membership.isSameReplica(before)
            && head.membership.phase() == MembershipPhase.OPEN;
    if (isServing) {
      violations.add(nowMillis + " ms: " + engine.id + " was taken from " + before.replica());
    }
  }

  /** Checks that all members of each serving replica have been ready in its generation. */
  private void checkServingReplicas() {
    for (SimulatedEngine engine : engines.values()) {
      if (engine.isAlive
          && engine.membership != null
          && engine.membership.phase() != MembershipPhase.JOINING) {
        everReady.computeIfAbsent(getGenerationKey(engine), k -> new HashSet<>()).add(engine.id);
      }
    }
    for (SimulatedEngine engine : engines.values()) {
      if (isOpenHead(engine)
          && !everReady
              .getOrDefault(getGenerationKey(engine), Set.of())
              .containsAll(engine.members)) {
        violations.add(
            nowMillis + " ms: " + engine.membership.replica() + " serves while incomplete");
      }
    }
  }

  private static String getGenerationKey(SimulatedEngine engine) {
    return engine.membership.replica() + "/" + engine.membership.generation();
  }

  private static boolean isOpenHead(SimulatedEngine engine) {
    return engine.isAlive
        && engine.membership != null
        && engine.membership.isHead()
        && engine.membership.phase() == MembershipPhase.OPEN;
  }

  /** Returns the largest number of loads that began within five seconds. */
  int countMostLoads() {
    List<Long> starts =
        engines.values().stream().flatMap(e -> e.loadStartMillis.stream()).sorted().toList();
    int most = 0;
    for (long start : starts) {
      long count = starts.stream().filter(s -> s >= start && s - start <= 5000).count();
      most = Math.max(most, (int) count);
    }
    return most;
  }

  /** Counts the serving replicas of a model whose members are all alive and in the replica. */
  long countComplete(ModelProfile model) {
    return engines.values().stream()
        .filter(FormationSimulation::isOpenHead)
        .filter(e -> e.membership.getModel().equals(model.name()))
        .filter(e -> e.members.stream().allMatch(m -> isInReplica(engines.get(m), e)))
        .count();
  }

  private static boolean isInReplica(SimulatedEngine member, SimulatedEngine head) {
    return member.isAlive
        && member.membership != null
        && member.membership.isSameReplica(head.membership);
  }

  SimulatedEngine findMember(ModelProfile model, boolean isHead) {
    return engines.values().stream()
        .filter(e -> e.isAlive && e.membership != null)
        .filter(e -> e.membership.getModel().equals(model.name()))
        .filter(e -> e.membership.isHead() == isHead)
        .findFirst()
        .orElseThrow();
  }
}
