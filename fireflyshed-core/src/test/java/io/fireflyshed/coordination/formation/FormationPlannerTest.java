package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.Membership;
import io.fireflyshed.state.target.MembershipPhase;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FormationPlanner} against simulated engines in virtual time. */
public class FormationPlannerTest {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(45);

  /** A silence that does not show that an engine is lost. */
  private static final Duration SOUND_SILENCE = Duration.ofMillis(1200);

  /** The steps between two reports of a member of a serving replica. */
  private static final long SERVING_REPORT_STEPS =
      FormationSettings.of(Duration.ofSeconds(5), 1).servingReportInterval().toMillis()
          / FormationSimulation.STEP_MILLIS;

  private static FormationSimulation newSettled(int domains) {
    FormationSimulation simulation = new FormationSimulation(1, domains);
    simulation.run(SETTLE_TIME);
    return simulation;
  }

  /** Tests the initial formation. */
  public static class Forming {

    @Test
    public void eachDomainHoldsOneReplicaOfEachModel() {
      FormationSimulation simulation = newSettled(2);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 2);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 2);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void sparesHoldTheModelsOfTheirDomain() {
      FormationSimulation simulation = newSettled(1);
      List<String> heldModels = new ArrayList<>();
      simulation.engines.values().stream()
          .filter(e -> e.members.size() == 1)
          .forEach(e -> heldModels.add(e.lastModel));
      assertEquals(Set.copyOf(heldModels), Set.of("large", "small"));
    }

    @Test
    public void enginesThatLoadAreAskedTwiceASecondAtMost() {
      FormationSimulation simulation = new FormationSimulation(1, 2);
      Duration load = FormationSimulation.LARGE.load();
      simulation.run(load);
      long limit = 2 * load.toSeconds() * simulation.engines.size();
      assertTrue(simulation.reports <= limit, simulation.reports + " reports, limit " + limit);
    }

    @Test
    public void enginesAddedOneByOneFormTheSameReplicas() {
      FormationSimulation simulation = new FormationSimulation(1, 0);
      for (int i = 0; i < 11; i++) {
        simulation.add("e" + i, "d0");
        simulation.run(Duration.ofMillis(150));
      }
      simulation.run(SETTLE_TIME);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
    }
  }

  /** Tests the repair of replicas that lost a member. */
  public static class Repair {

    @Test
    public void lostMemberIsReplacedByTheSpareWithinTwoSeconds() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(2));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void lostHeadIsReplacedWithinFiveSeconds() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.SMALL, true).isAlive = false;
      simulation.run(Duration.ofSeconds(5));
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }

    /** Provides whether the engine is a head, and when it falls silent after the settling. */
    @DataProvider
    public Object[][] silences() {
      return Stream.of(false, true)
          .flatMap(
              isHead ->
                  LongStream.range(0, SERVING_REPORT_STEPS)
                      .mapToObj(i -> new Object[] {isHead, i * FormationSimulation.STEP_MILLIS}))
          .toArray(Object[][]::new);
    }

    @Test(dataProvider = "silences")
    public void engineThatGivesNoReportsForAMomentStaysInItsReplica(
        boolean isHead, long startMillis) {
      FormationSimulation simulation = newSettled(1);
      simulation.run(Duration.ofMillis(startMillis));
      int joins = simulation.joins;
      SimulatedEngine silent = simulation.findMember(FormationSimulation.LARGE, isHead);
      simulation.unreachable.add(silent.id);
      simulation.run(SOUND_SILENCE);
      simulation.unreachable.remove(silent.id);
      simulation.run(Duration.ofSeconds(3));
      assertEquals(simulation.joins, joins, "joins after a short silence");
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test(dataProvider = "silences")
    public void engineThatGivesNoReportsIsReplacedWithinFiveSeconds(
        boolean isHead, long startMillis) {
      FormationSimulation simulation = newSettled(1);
      simulation.run(Duration.ofMillis(startMillis));
      SimulatedEngine silent = simulation.findMember(FormationSimulation.LARGE, isHead);
      simulation.unreachable.add(silent.id);
      simulation.run(Duration.ofSeconds(5));
      silent.isAlive = false;
      SimulatedEngine head = simulation.findMember(FormationSimulation.LARGE, true);
      assertTrue(!head.members.contains(silent.id), "members " + head.members);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void enginesThatReturnOneByOneServeTheModelsWhoseWeightsTheyHold() {
      FormationSimulation simulation = newSettled(1);
      List<SimulatedEngine> engines = new ArrayList<>(simulation.engines.values());
      engines.forEach(e -> e.isAlive = false);
      simulation.run(Duration.ofSeconds(10));
      engines.sort(Comparator.comparing(e -> e.staged.contains(FormationSimulation.LARGE.name())));
      for (SimulatedEngine engine : engines) {
        engine.restart(simulation.nowMillis);
        simulation.run(Duration.ofMillis(100));
      }
      simulation.run(Duration.ofSeconds(5));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void enginesThatAreAddedWithoutEndDoNotPreventALoad() {
      FormationSimulation simulation = new FormationSimulation(1, 1);
      for (int i = 0; i < 50; i++) {
        simulation.add("added-" + i, "d" + i);
        simulation.run(Duration.ofMillis(500));
      }
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
    }

    @Test
    public void spareThatStillLoadsIsNotInterrupted() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(5));
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(FormationSimulation.LARGE.load());
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void spareWhoseLoadNeverEndsIsOrderedAgain() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(5));
      simulation.engines.values().stream()
          .filter(e -> e.isAlive && e.membership.phase() == MembershipPhase.JOINING)
          .forEach(e -> e.isLoadStuck = true);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(60).plus(FormationSimulation.LARGE.load()));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
    }

    @Test
    public void leavingMemberIsReplaced() {
      FormationSimulation simulation = newSettled(1);
      SimulatedEngine leaving = simulation.findMember(FormationSimulation.LARGE, false);
      leaving.isLeaving = true;
      simulation.run(Duration.ofSeconds(5));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertTrue(leaving.membership == null || leaving.membership.generation() < 1_000_004);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void restartedMemberRejoins() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).restart(simulation.nowMillis);
      simulation.run(Duration.ofSeconds(6));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void reportOfAnotherEngineAtTheSameAddressIsIgnored() {
      FormationSimulation simulation = new FormationSimulation(1, 0);
      FormationPlanner planner = simulation.planner;
      List<SimulatedEngine> engines =
          List.of(simulation.add("a", "d"), simulation.add("b", "d"), simulation.add("c", "d"));
      List<Target> targets = engines.stream().map(SimulatedEngine::toTarget).toList();
      planner.updateTargets(targets, 0);
      SimulatedEngine other = new SimulatedEngine("new-c", "d");
      other.restart(1);
      planner.updateTargets(targets.subList(0, 2), 1);
      planner.pollDueReports(1);
      planner.recordReport(engines.get(0).id, engines.get(0).report(0, 0), 2);
      planner.recordReport(engines.get(1).id, engines.get(1).report(0, 0), 2);
      planner.recordReport(engines.get(2).id, other.report(2, 0), 2);
      assertEquals(planner.plan(SETTLE_TIME.toNanos()), List.of());
    }

    @Test
    public void modelWithoutReplicasTakesEnginesFromTheOtherModel() {
      FormationSimulation simulation = newSettled(1);
      for (int i = 0; i < 3; i++) {
        simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
        simulation.run(Duration.ofSeconds(1));
      }
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 0);
      simulation.run(Duration.ofSeconds(40));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void restartedMembersCauseNoConflictingOrders() {
      FormationSimulation simulation = newSettled(2);
      for (int i = 0; i < 8; i++) {
        simulation.findMember(FormationSimulation.LARGE, i % 2 == 0).restart(simulation.nowMillis);
        simulation.run(Duration.ofSeconds(6));
      }
      assertEquals(simulation.conflicts, 0, "orders that engines rejected as conflicting");
    }

    @Test
    public void settledZoneGetsNoFurtherJoins() {
      FormationSimulation simulation = newSettled(2);
      int joins = simulation.joins;
      simulation.run(Duration.ofSeconds(20));
      assertEquals(simulation.joins, joins, "joins sent to a settled zone");
    }
  }

  /** Tests coordinators that take over from each other. */
  public static class Succession {

    // Guards against instances that are taken from a replica since another of its name dissolved.
    @Test
    public void membersAreNotTakenWhileTheHeadOfAReplicaOfTheSameNameServes() {
      FormationSimulation simulation =
          new FormationSimulation(1, 1, 3, 100, List.of(FormationSimulation.SMALL));
      simulation.run(SETTLE_TIME);
      simulation.epoch--;
      simulation.startSuccessor();
      simulation.run(Duration.ofSeconds(5));
      for (int i = 0; i < 3; i++) {
        simulation.add("added-" + i, "d0");
      }
      simulation.run(SETTLE_TIME);
      List<SimulatedEngine> heads =
          simulation.engines.values().stream().filter(e -> e.membership.isHead()).toList();
      assertEquals(heads.size(), 2);
      Membership serving = heads.get(0).membership;
      assertEquals(heads.get(1).membership, serving, "replicas of the same name");
      simulation.engines.values().stream()
          .filter(e -> heads.get(1).members.contains(e.id) && !e.membership.isHead())
          .findFirst()
          .ifPresent(e -> e.isLeaving = true);
      simulation.run(Duration.ofSeconds(20));
      assertEquals(heads.get(0).membership, serving, "the replica that lost no member");
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void successorKeepsServingReplicas() {
      FormationSimulation simulation = newSettled(2);
      int joins = simulation.joins;
      simulation.startSuccessor();
      simulation.run(Duration.ofSeconds(10));
      assertEquals(simulation.joins, joins);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 2);
    }

    @Test
    public void successorBeginsLoadsOnceItKnowsThatItsPredecessorBeganNone() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(3));
      simulation.run(FormationSimulation.LARGE.load());
      simulation.add("new-engine", "d0");
      int joins = simulation.joins;
      simulation.startSuccessor();
      simulation.run(Duration.ofSeconds(3));
      assertTrue(simulation.joins > joins, "no engine was ordered to load");
    }

    @Test
    public void successorsKeepTheLimitOfLoads() {
      for (int delayMillis = 500; delayMillis <= 6000; delayMillis += 250) {
        FormationSimulation simulation = new FormationSimulation(1, 2, 1.2);
        for (int i = 0; i < 8; i++) {
          simulation.run(Duration.ofMillis(delayMillis));
          simulation.startSuccessor();
        }
        simulation.run(SETTLE_TIME);
        assertTrue(
            simulation.countMostLoads() <= 6,
            simulation.countMostLoads() + " loads in 5 s, a successor each " + delayMillis + " ms");
      }
    }

    @Test
    public void successorWaitsForTheReportOfAHead() {
      FormationSimulation simulation = newSettled(1);
      int leaves = simulation.leaves;
      SimulatedEngine head = simulation.findMember(FormationSimulation.LARGE, true);
      simulation.unreachable.add(head.id);
      simulation.startSuccessor();
      simulation.run(Duration.ofMillis(600));
      simulation.unreachable.remove(head.id);
      simulation.run(Duration.ofSeconds(10));
      assertEquals(simulation.leaves, leaves, "orders to leave");
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void fencedReplyEndsTheTerm() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      SimulatedEngine head = simulation.findMember(FormationSimulation.LARGE, true);
      simulation.planner.recordOrderReply(
          head.id,
          new EngineOrder.Leave(head.membership.replica(), head.membership.generation()),
          OrderReply.FENCED,
          simulation.nowMillis);
      int joins = simulation.joins;
      simulation.run(Duration.ofSeconds(10));
      assertTrue(simulation.planner.isFenced());
      assertEquals(simulation.joins, joins);
    }

    @Test
    public void successorCompletesFormingReplicas() {
      FormationSimulation simulation = new FormationSimulation(1, 1);
      simulation.run(Duration.ofSeconds(4));
      simulation.startSuccessor();
      simulation.run(SETTLE_TIME);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }
  }

  /** Tests a coordinator that reaches no engine for a while. */
  public static class Cut {

    private static final Duration CUT = Duration.ofSeconds(3);

    /** Provides whether connections are refused, and when the cut begins after the settling. */
    @DataProvider
    public Object[][] cuts() {
      return Stream.of(false, true)
          .flatMap(
              isRefused ->
                  LongStream.range(0, SERVING_REPORT_STEPS)
                      .mapToObj(i -> new Object[] {isRefused, i * FormationSimulation.STEP_MILLIS}))
          .toArray(Object[][]::new);
    }

    /** Provides whether connections are refused. */
    @DataProvider
    public Object[][] kinds() {
      return new Object[][] {{false}, {true}};
    }

    private static FormationSimulation newSettledUntil(int domains, long startMillis) {
      FormationSimulation simulation = newSettled(domains);
      simulation.run(Duration.ofMillis(startMillis));
      return simulation;
    }

    private static void cut(
        FormationSimulation simulation, boolean isRefused, List<SimulatedEngine> engines) {
      engines.forEach(e -> (isRefused ? simulation.refusing : simulation.unreachable).add(e.id));
    }

    private static void cutAll(FormationSimulation simulation, boolean isRefused) {
      cut(simulation, isRefused, List.copyOf(simulation.engines.values()));
    }

    private static void restore(FormationSimulation simulation) {
      simulation.unreachable.clear();
      simulation.refusing.clear();
    }

    @Test(dataProvider = "cuts")
    public void cutFromAllEnginesTakesNoReplicaApart(boolean isRefused, long startMillis) {
      FormationSimulation simulation = newSettledUntil(2, startMillis);
      int joins = simulation.joins;
      int leaves = simulation.leaves;
      cutAll(simulation, isRefused);
      simulation.run(CUT);
      restore(simulation);
      simulation.run(Duration.ofSeconds(10));
      assertEquals(simulation.leaves, leaves, "orders to leave");
      assertEquals(simulation.joins, joins, "orders to join");
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 2);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 2);
      assertEquals(simulation.violations, List.of());
    }

    @Test(dataProvider = "cuts")
    public void pauseWhileSomeConnectionsLiveOnTakesNoReplicaApart(
        boolean isRefused, long startMillis) {
      FormationSimulation simulation = newSettledUntil(2, startMillis);
      int joins = simulation.joins;
      int leaves = simulation.leaves;
      cut(
          simulation,
          isRefused,
          simulation.engines.values().stream()
              .filter(e -> e.membership == null || !e.membership.isHead())
              .toList());
      simulation.isPaused = true;
      simulation.run(CUT);
      restore(simulation);
      simulation.resume();
      simulation.run(Duration.ofSeconds(10));
      assertEquals(simulation.leaves, leaves, "orders to leave");
      assertEquals(simulation.joins, joins, "orders to join");
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 2);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 2);
      assertEquals(simulation.violations, List.of());
    }

    @Test(dataProvider = "cuts")
    public void memberThatDiesDuringTheCutIsReplaced(boolean isRefused, long startMillis) {
      FormationSimulation simulation = newSettledUntil(1, startMillis);
      cutAll(simulation, isRefused);
      simulation.run(Duration.ofSeconds(1));
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(CUT);
      restore(simulation);
      simulation.run(Duration.ofSeconds(6));
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test(dataProvider = "cuts")
    public void threeMembersLostAtOnceEndTheirReplicaWithinThreeSeconds(
        boolean isRefused, long startMillis) {
      FormationSimulation simulation = newSettledUntil(1, startMillis);
      SimulatedEngine head = simulation.findMember(FormationSimulation.LARGE, true);
      long generation = head.membership.generation();
      cut(
          simulation,
          isRefused,
          head.members.subList(3, 6).stream().map(simulation.engines::get).toList());
      simulation.run(Duration.ofSeconds(3));
      assertTrue(head.membership == null || head.membership.generation() != generation);
      assertEquals(simulation.countComplete(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test(dataProvider = "kinds")
    public void lostDomainLeavesTheOtherAsItIs(boolean isRefused) {
      FormationSimulation simulation = newSettled(2);
      int joins = simulation.joins;
      List<SimulatedEngine> lost =
          simulation.engines.values().stream().filter(e -> e.domain.equals("d1")).toList();
      cut(simulation, isRefused, lost);
      simulation.run(CUT);
      SimulatedEngine other = simulation.findMember(FormationSimulation.LARGE, false);
      assertEquals(other.domain, "d0");
      other.isAlive = false;
      simulation.run(CUT);
      assertEquals(simulation.countComplete(FormationSimulation.LARGE), 2);
      assertTrue(simulation.joins > joins);
      assertEquals(simulation.violations, List.of());
    }
  }

  /** Tests invariants under random faults. */
  public static class Faults {

    private static final int SEEDS = 60;
    private static final int FAULT_KINDS_WITHOUT_LEASE_LAPSE = 6;
    private static final int FAULT_KINDS = 7;

    /**
     * Seeds of past failures. In 354 and 356, an engine that was assigned to a forming replica but
     * still reported a dissolved one was made a spare, and its FENCED reply to the older join ended
     * the term. In 111, 1038 and 1086, a join was repeated in the same pass that ordered the engine
     * to leave another replica.
     */
    private static final List<Long> REGRESSIONS = List.of(354L, 356L, 111L, 1038L, 1086L);

    /**
     * Seeds of past failures with lapses of the lease, from before the generation counter outlived
     * the planner. In 122, 130, 142 and 155, incomplete replicas served; in 18, 23, 191 and 206,
     * replicas lost members to others.
     */
    private static final List<Long> LEASE_LAPSE_REGRESSIONS =
        List.of(18L, 23L, 122L, 130L, 142L, 155L, 191L, 206L);

    /** Returns the seeds for faults without lapses of the lease. */
    @DataProvider
    public static Object[][] seeds() {
      return newSeeds(REGRESSIONS);
    }

    /** Returns the seeds for faults with lapses of the lease. */
    @DataProvider
    public static Object[][] leaseLapseSeeds() {
      return newSeeds(LEASE_LAPSE_REGRESSIONS);
    }

    private static Object[][] newSeeds(List<Long> regressions) {
      return Stream.concat(LongStream.rangeClosed(1, SEEDS).boxed(), regressions.stream())
          .distinct()
          .map(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void faultsBreakNoInvariant(long seed) {
      runFaults(seed, FAULT_KINDS_WITHOUT_LEASE_LAPSE, true);
    }

    @Test(dataProvider = "leaseLapseSeeds")
    public void faultsWithLeaseLapsesBreakNoInvariant(long seed) {
      runFaults(seed, FAULT_KINDS, true);
    }

    @Test(dataProvider = "seeds")
    public void faultsBreakNoInvariantIfEnginesIgnoreFencing(long seed) {
      runFaults(seed, FAULT_KINDS_WITHOUT_LEASE_LAPSE, false);
    }

    @Test(dataProvider = "leaseLapseSeeds")
    public void faultsWithLeaseLapsesBreakNoInvariantIfEnginesIgnoreFencing(long seed) {
      runFaults(seed, FAULT_KINDS, false);
    }

    /**
     * Injects random faults, lets the engines recover and checks that no invariant was violated and
     * that the replicas form again.
     *
     * @param seed the seed of the simulation
     * @param faultKinds how many kinds of faults are used, in the order of {@link #injectFault};
     *     the sixth starts a successor, the seventh lets the lease lapse
     * @param isFencingChecked whether engines refuse orders with an older fencing token
     */
    private static void runFaults(long seed, int faultKinds, boolean isFencingChecked) {
      FormationSimulation simulation = new FormationSimulation(seed, 2);
      simulation.engines.values().forEach(e -> e.isFencingChecked = isFencingChecked);
      simulation.replyLossRate = 0.1;
      simulation.lateOrderRate = 0.2;
      for (int i = 0; i < 40; i++) {
        simulation.run(Duration.ofMillis(200 + simulation.random.nextInt(2500)));
        injectFault(simulation, faultKinds);
      }
      simulation.lateOrderRate = 0;
      simulation.replyLossRate = 0;
      simulation.unreachable.clear();
      simulation.engines.values().stream()
          .filter(e -> !e.isAlive)
          .forEach(e -> e.restart(simulation.nowMillis));
      simulation.engines.values().forEach(e -> e.isLeaving = false);
      simulation.run(Duration.ofSeconds(90));
      assertTrue(simulation.violations.isEmpty(), "seed " + seed + ": " + simulation.violations);
      long complete =
          simulation.countComplete(FormationSimulation.LARGE)
              + simulation.countComplete(FormationSimulation.SMALL);
      assertTrue(complete >= 4, "seed " + seed + ": " + complete + " replicas are complete");
    }

    private static void injectFault(FormationSimulation simulation, int faultKinds) {
      List<SimulatedEngine> engines = new ArrayList<>(simulation.engines.values());
      SimulatedEngine engine = engines.get(simulation.random.nextInt(engines.size()));
      switch (simulation.random.nextInt(faultKinds)) {
        case 0 -> engine.isAlive = false;
        case 1 -> engine.restart(simulation.nowMillis);
        case 2 -> simulation.unreachable.add(engine.id);
        case 3 -> simulation.unreachable.clear();
        case 4 -> engine.isLeaving = !engine.isLeaving;
        case 5 -> simulation.startSuccessor();
        default -> simulation.restartPlanner();
      }
    }
  }
}
