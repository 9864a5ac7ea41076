package io.fireflyshed.faults;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.LongFunction;

/** Runs seeded schedules of faults, each of which gets what went wrong. */
public final class ScheduleRuns {

  private ScheduleRuns() {}

  /**
   * Asserts that nothing goes wrong in any schedule. The system property runs a single seed.
   *
   * @param test the test class, for the command that repeats a seed, not null
   * @param property the system property that names a single seed, not null
   * @param schedules the number of schedules, positive
   * @param schedule runs one seed and gets what went wrong, not null
   */
  public static void assertNoViolation(
      Class<?> test, String property, int schedules, LongFunction<List<String>> schedule) {
    Long only = Long.getLong(property);
    long first = only == null ? 1 : only;
    long last = only == null ? schedules : only;
    for (long seed = first; seed <= last; seed++) {
      List<String> violations = schedule.apply(seed);
      String command =
          "mvn -pl fireflyshed-core test -Dtest=" + test.getSimpleName() + " -D" + property + "=";
      assertTrue(violations.isEmpty(), "seed " + seed + ": " + violations + "; " + command + seed);
    }
  }

  /**
   * Asserts that the checks notice a deliberate mistake in some schedule.
   *
   * @param mistake names the mistake, not null
   * @param expected a part of what the checks should say, not null
   * @param schedules the number of schedules, positive
   * @param schedule runs one seed with the mistake and gets what went wrong, not null
   */
  public static void assertNoticed(
      Object mistake, String expected, int schedules, LongFunction<List<String>> schedule) {
    for (long seed = 1; seed <= schedules; seed++) {
      if (schedule.apply(seed).stream().anyMatch(v -> v.contains(expected))) {
        return;
      }
    }
    assertTrue(false, mistake + " was not noticed in " + schedules + " schedules");
  }
}
