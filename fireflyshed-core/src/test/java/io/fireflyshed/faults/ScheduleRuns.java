package io.fireflyshed.faults;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.LongFunction;

/** Runs seeded fault schedules and checks the violations that they return. */
public final class ScheduleRuns {

  private ScheduleRuns() {}

  /**
   * Asserts that no schedule returns a violation. If the system property is set, only its seed is
   * run.
   *
   * @param test the test class, for the command that reproduces a failure, not null
   * @param property the name of the system property that selects a single seed, not null
   * @param schedules the number of schedules, positive
   * @param schedule runs one seed and returns the violations, not null
   */
  public static void assertNoViolation(
      Class<?> test, String property, int schedules, LongFunction<List<String>> schedule) {
    Long selectedSeed = Long.getLong(property);
    long firstSeed = selectedSeed == null ? 1 : selectedSeed;
    long lastSeed = selectedSeed == null ? schedules : selectedSeed;
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      List<String> violations = schedule.apply(seed);
      String command =
          "mvn -pl fireflyshed-core test -Dtest=" + test.getSimpleName() + " -D" + property + "=";
      assertTrue(violations.isEmpty(), "seed " + seed + ": " + violations + "; " + command + seed);
    }
  }

  /**
   * Asserts that the checks detect an injected defect in at least one schedule.
   *
   * @param defect the name of the injected defect, not null
   * @param expected a part of the expected violation, not null
   * @param schedules the number of schedules, positive
   * @param schedule runs one seed with the defect and returns the violations, not null
   */
  public static void assertNoticed(
      Object defect, String expected, int schedules, LongFunction<List<String>> schedule) {
    for (long seed = 1; seed <= schedules; seed++) {
      if (schedule.apply(seed).stream().anyMatch(violation -> violation.contains(expected))) {
        return;
      }
    }
    assertTrue(false, defect + " was not detected in " + schedules + " schedules");
  }
}
