package io.fireflyshed.coordination.configuration;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.fireflyshed.coordination.configuration.ConfigurationSchedule.Mistake;
import org.testng.annotations.Test;

/** Runs many seeded schedules of acceptance and spread. */
public class ConfigurationScheduleTest {

  private static final long FIRST_SEED = Long.getLong("fireflyshed.seed", 1);
  private static final int SCHEDULES = Integer.getInteger("fireflyshed.schedules", 10_000);
  private static final int MISTAKE_SCHEDULES = 300;

  private static int countFailures(Mistake mistake, int schedules, String message) {
    int failures = 0;
    for (int i = 0; i < schedules; i++) {
      try {
        new ConfigurationSchedule(FIRST_SEED + i, mistake).run();
      } catch (AssertionError e) {
        failures += e.getMessage().equals(message) ? 1 : 0;
      }
    }
    return failures;
  }

  /** Tests of the promises under faults. */
  public static class Promises {

    @Test
    public void holdInEverySchedule() {
      long accepted = 0;
      for (int i = 0; i < SCHEDULES; i++) {
        long seed = FIRST_SEED + i;
        ConfigurationSchedule schedule = new ConfigurationSchedule(seed, Mistake.NONE);
        try {
          schedule.run();
        } catch (AssertionError e) {
          fail(
              e.getMessage()
                  + "; seed "
                  + seed
                  + "; mvn -pl fireflyshed-core test -Dtest=ConfigurationScheduleTest"
                  + " -DargLine='-Dfireflyshed.schedules=1 -Dfireflyshed.seed="
                  + seed
                  + "'",
              e);
        }
        accepted += schedule.getAcceptedCount();
      }
      assertTrue(accepted >= 5L * SCHEDULES, "too few accepted versions: " + accepted);
    }
  }

  /** Tests that the checks see what they are for. */
  public static class Mistakes {

    @Test
    public void versionsFromClocksLoseAcceptedOnes() {
      String broken = "a process that believes to be current lacks an accepted version";
      assertTrue(countFailures(Mistake.VERSION_FROM_CLOCK, MISTAKE_SCHEDULES, broken) > 0);
    }

    @Test
    public void evidenceDatedOnArrivalHidesThatAProcessIsBehind() {
      String broken = "a process that believes to be current lacks an accepted version";
      assertTrue(countFailures(Mistake.EVIDENCE_DATED_ON_ARRIVAL, MISTAKE_SCHEDULES, broken) > 0);
    }

    @Test
    public void reapplyingOnStartGoesBack() {
      String broken = "a version went back when a process was replaced";
      assertTrue(countFailures(Mistake.REAPPLY_ON_START, MISTAKE_SCHEDULES, broken) > 0);
    }
  }
}
