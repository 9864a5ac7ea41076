package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.target.EngineOrder;
import io.fireflyshed.state.target.OrderReply;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FormationPlanner} against simulated engines in virtual time. */
public class FormationPlannerTest {

  private static final Duration SETTLE = Duration.ofSeconds(45);

  private static FormationSimulation newSettled(int domains) {
    FormationSimulation simulation = new FormationSimulation(1, domains);
    simulation.run(SETTLE);
    return simulation;
  }

  /** Tests the first formation. */
  public static class Forming {

    @Test
    public void domainHoldsOneReplicaOfEachModel() {
      FormationSimulation simulation = newSettled(2);
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 2);
      assertEquals(simulation.countWhole(FormationSimulation.SMALL), 2);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void sparesHoldTheModelsOfTheirDomain() {
      FormationSimulation simulation = newSettled(1);
      List<String> held = new ArrayList<>();
      simulation.engines.values().stream()
          .filter(e -> e.members.size() == 1)
          .forEach(e -> held.add(e.lastModel));
      assertEquals(Set.copyOf(held), Set.of("large", "small"));
    }

    @Test
    public void enginesThatTurnUpOneByOneFormTheSameReplicas() {
      FormationSimulation simulation = new FormationSimulation(1, 0);
      for (int i = 0; i < 11; i++) {
        simulation.add("e" + i, "d0");
        simulation.run(Duration.ofMillis(150));
      }
      simulation.run(SETTLE);
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countWhole(FormationSimulation.SMALL), 1);
    }
  }

  /** Tests the repair of replicas that lost a member. */
  public static class Repair {

    @Test
    public void memberThatIsLostIsReplacedByTheSpareWithinTwoSeconds() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      simulation.run(Duration.ofSeconds(2));
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void headThatIsLostIsReplacedWithinFiveSeconds() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.SMALL, true).isAlive = false;
      simulation.run(Duration.ofSeconds(5));
      assertEquals(simulation.countWhole(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void memberThatLeavesIsReplaced() {
      FormationSimulation simulation = newSettled(1);
      SimulatedEngine leaving = simulation.findMember(FormationSimulation.LARGE, false);
      leaving.isLeaving = true;
      simulation.run(Duration.ofSeconds(5));
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertTrue(leaving.membership == null || leaving.membership.generation() < 1_000_004);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void memberThatStartsAnewRejoins() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).restart(simulation.nowMillis);
      simulation.run(Duration.ofSeconds(6));
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void engineAtTheAddressOfAnotherDoesNotAnswerForIt() {
      FormationSimulation simulation = new FormationSimulation(1, 0);
      FormationPlanner planner = simulation.planner;
      List<SimulatedEngine> engines =
          List.of(simulation.add("a", "d"), simulation.add("b", "d"), simulation.add("c", "d"));
      List<Target> targets = engines.stream().map(SimulatedEngine::toTarget).toList();
      planner.onTargets(targets, 0);
      SimulatedEngine other = new SimulatedEngine("new-c", "d");
      other.restart(1);
      planner.onTargets(targets.subList(0, 2), 1);
      planner.takeDueReports(1);
      planner.onReport(engines.get(0).id, engines.get(0).report(0, 0), 2);
      planner.onReport(engines.get(1).id, engines.get(1).report(0, 0), 2);
      planner.onReport(engines.get(2).id, other.report(2, 0), 2);
      assertEquals(planner.plan(SETTLE.toNanos()), List.of());
    }

    @Test
    public void modelWithoutReplicasTakesEnginesFromTheOther() {
      FormationSimulation simulation = newSettled(1);
      for (int i = 0; i < 3; i++) {
        simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
        simulation.run(Duration.ofSeconds(1));
      }
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 0);
      simulation.run(Duration.ofSeconds(40));
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertEquals(simulation.violations, List.of());
    }

    @Test
    public void ordersRestOnReportsThatShowTheOrdersBefore() {
      FormationSimulation simulation = newSettled(2);
      for (int i = 0; i < 8; i++) {
        simulation.findMember(FormationSimulation.LARGE, i % 2 == 0).restart(simulation.nowMillis);
        simulation.run(Duration.ofSeconds(6));
      }
      assertEquals(simulation.conflicts, 0, "orders that were refused");
    }

    @Test
    public void engineThatSwallowedAnOrderIsNotOrderedOnAnOldReport() {
      FormationSimulation simulation = newSettled(2);
      int joins = simulation.joins;
      simulation.run(Duration.ofSeconds(20));
      assertEquals(simulation.joins, joins, "a settled zone gets no orders");
    }
  }

  /** Tests coordinators that follow each other. */
  public static class Succession {

    @Test
    public void successorKeepsTheReplicasThatServe() {
      FormationSimulation simulation = newSettled(2);
      int joins = simulation.joins;
      simulation.newPlanner();
      simulation.run(Duration.ofSeconds(10));
      assertEquals(simulation.joins, joins);
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 2);
    }

    @Test
    public void refusedFenceEndsTheTerm() {
      FormationSimulation simulation = newSettled(1);
      simulation.findMember(FormationSimulation.LARGE, false).isAlive = false;
      SimulatedEngine head = simulation.findMember(FormationSimulation.LARGE, true);
      simulation.planner.onOrdered(
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
    public void successorFinishesWhatIsHalfFormed() {
      FormationSimulation simulation = new FormationSimulation(1, 1);
      simulation.run(Duration.ofSeconds(4));
      simulation.newPlanner();
      simulation.run(SETTLE);
      assertEquals(simulation.countWhole(FormationSimulation.LARGE), 1);
      assertEquals(simulation.countWhole(FormationSimulation.SMALL), 1);
      assertEquals(simulation.violations, List.of());
    }
  }

  /** Tests random faults. */
  public static class Faults {

    private static final int SEEDS = 60;
    private static final int KINDS_WITHOUT_LAPSES = 6;
    private static final int KINDS = 7;

    /**
     * Seeds that failed once: an engine that was planned for a forming replica but still reported a
     * dissolved one was made a spare, and its refusal of the older join ended the term (354, 356).
     * A join was repeated in the pass that let the engine leave another replica (111, 1038, 1086).
     */
    private static final List<Long> REGRESSIONS = List.of(354L, 356L, 111L, 1038L, 1086L);

    /**
     * Seeds that failed with lapses of the lease before generations outlived the planner: replicas
     * served in part (122, 130, 142, 155) or lost members to others (18, 23, 191, 206).
     */
    private static final List<Long> LAPSE_REGRESSIONS =
        List.of(18L, 23L, 122L, 130L, 142L, 155L, 191L, 206L);

    /** Gets the seeds. */
    @DataProvider
    public static Object[][] seeds() {
      return newSeeds(REGRESSIONS);
    }

    /** Gets the seeds for faults that include lapses of the lease. */
    @DataProvider
    public static Object[][] lapseSeeds() {
      return newSeeds(LAPSE_REGRESSIONS);
    }

    private static Object[][] newSeeds(List<Long> regressions) {
      return Stream.concat(LongStream.rangeClosed(1, SEEDS).boxed(), regressions.stream())
          .distinct()
          .map(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void replicasStayWholeAndEnginesInOne(long seed) {
      play(seed, KINDS_WITHOUT_LAPSES);
    }

    @Test(dataProvider = "lapseSeeds")
    public void leaseThatLapsedAndWasRenewedBreaksNothing(long seed) {
      play(seed, KINDS);
    }

    /** Plays the first kinds of faults: the sixth is a successor, the seventh a lapse. */
    private static void play(long seed, int kinds) {
      FormationSimulation simulation = new FormationSimulation(seed, 2);
      simulation.lostAnswers = 0.1;
      simulation.lateOrders = 0.2;
      for (int i = 0; i < 40; i++) {
        simulation.run(Duration.ofMillis(200 + simulation.random.nextInt(2500)));
        strike(simulation, kinds);
      }
      simulation.lateOrders = 0;
      simulation.lostAnswers = 0;
      simulation.cut.clear();
      simulation.engines.values().stream()
          .filter(e -> !e.isAlive)
          .forEach(e -> e.restart(simulation.nowMillis));
      simulation.engines.values().forEach(e -> e.isLeaving = false);
      simulation.run(Duration.ofSeconds(90));
      assertTrue(simulation.violations.isEmpty(), "seed " + seed + ": " + simulation.violations);
      long whole =
          simulation.countWhole(FormationSimulation.LARGE)
              + simulation.countWhole(FormationSimulation.SMALL);
      assertTrue(whole >= 4, "seed " + seed + ": " + whole + " replicas are whole");
    }

    private static void strike(FormationSimulation simulation, int kinds) {
      List<SimulatedEngine> engines = new ArrayList<>(simulation.engines.values());
      SimulatedEngine engine = engines.get(simulation.random.nextInt(engines.size()));
      switch (simulation.random.nextInt(kinds)) {
        case 0 -> engine.isAlive = false;
        case 1 -> engine.restart(simulation.nowMillis);
        case 2 -> simulation.cut.add(engine.id);
        case 3 -> simulation.cut.clear();
        case 4 -> engine.isLeaving = !engine.isLeaving;
        case 5 -> simulation.newPlanner();
        default -> simulation.renewPlanner();
      }
    }
  }
}
