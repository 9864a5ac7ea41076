package io.fireflyshed.transport.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.transport.control.FaultSchedule.Result;
import io.fireflyshed.transport.control.FaultSchedule.Variant;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Tests with fault schedules drawn from seeds that only complete replicas get requests and that no
 * instance is in use by two replicas.
 *
 * <p>To run a single seed: {@code mvn -pl fireflyshed-standins -am test -Dtest=FaultScheduleTest
 * -Dsurefire.failIfNoSpecifiedTests=false -DargLine=-Dfireflyshed.seed=SEED}.
 */
public class FaultScheduleTest {

  private static final String SEED_PROPERTY = "fireflyshed.seed";
  private static final String REPRODUCE_COMMAND =
      "; reproduce with: mvn -pl fireflyshed-standins -am test -Dtest=FaultScheduleTest"
          + " -Dsurefire.failIfNoSpecifiedTests=false -DargLine=-D"
          + SEED_PROPERTY
          + "=<seed>";
  private static final int SCHEDULES = 10_000;
  private static final int REPAIR_SCHEDULES = 300;
  private static final int DEFECT_SCHEDULES = 400;

  private static LongStream getSeeds(int count) {
    Long seed = Long.getLong(SEED_PROPERTY);
    return seed == null ? LongStream.rangeClosed(1, count) : LongStream.of(seed);
  }

  private static List<Result> run(LongStream seeds, Variant variant) {
    return seeds.parallel().mapToObj(s -> new FaultSchedule(s, variant).run()).toList();
  }

  private static List<String> findViolations(List<Result> results) {
    return results.stream().flatMap(r -> r.violation().stream()).toList();
  }

  /** Tests of the guarantees under faults. */
  public static class Guarantees {

    @Test
    public void holdWithTheNaivePlanner() {
      List<Result> results = run(getSeeds(SCHEDULES), Variant.NAIVE_PLANNER);
      List<String> violations = findViolations(results);
      assertEquals(violations.size(), 0, violations.stream().limit(5).toList() + REPRODUCE_COMMAND);
      assertTrue(results.stream().mapToLong(Result::requests).sum() > 0);
      long reassigned = results.stream().filter(r -> r.newAssignments() > 0).count();
      boolean isFullRun = results.size() == SCHEDULES;
      assertTrue(
          !isFullRun || reassigned * 2 > SCHEDULES,
          "only " + reassigned + " schedules reassigned a replica");
    }

    @Test
    public void holdWithTheRepairPlanner() {
      List<String> violations = findViolations(run(getSeeds(REPAIR_SCHEDULES), Variant.REPAIR));
      assertEquals(violations.size(), 0, violations.stream().limit(5).toList() + REPRODUCE_COMMAND);
    }
  }

  /** Tests that the checks detect injected defects. */
  public static class Defects {

    @Test
    public void releaseWithoutWaitIsDetected() {
      assertDetected(Variant.RELEASE_WITHOUT_WAIT, " used ");
    }

    @Test
    public void evidenceDatedOnArrivalIsDetected() {
      assertDetected(Variant.EVIDENCE_DATED_ON_ARRIVAL, " without ");
    }

    private static void assertDetected(Variant variant, String text) {
      boolean isDetected =
          LongStream.rangeClosed(1, DEFECT_SCHEDULES)
              .parallel()
              .mapToObj(s -> new FaultSchedule(s, variant).run())
              .anyMatch(r -> r.violation().filter(v -> v.contains(text)).isPresent());
      assertTrue(isDetected, "no violation contains" + text);
    }
  }
}
