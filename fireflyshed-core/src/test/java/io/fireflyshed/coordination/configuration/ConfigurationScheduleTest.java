package io.fireflyshed.coordination.configuration;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.fireflyshed.coordination.configuration.ConfigurationSchedule.Mistake;
import org.testng.annotations.Test;

/** Tests the acceptance and the distribution of versions with fault schedules drawn from seeds. */
public class ConfigurationScheduleTest {

  private static final long FIRST_SEED = Long.getLong("fireflyshed.seed", 1);
  private static final int SCHEDULES = Integer.getInteger("fireflyshed.schedules", 10_000);
  private static final int DEFECT_SCHEDULES = 300;

  private static int countFailures(Mistake defect, int schedules, String message) {
    int failures = 0;
    for (int i = 0; i < schedules; i++) {
      try {
        new ConfigurationSchedule(FIRST_SEED + i, defect).run();
      } catch (AssertionError e) {
        failures += e.getMessage().equals(message) ? 1 : 0;
      }
    }
    return failures;
  }

  /** Tests of the guarantees under faults. */
  public static class Guarantees {

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

  /** Tests that the checks detect injected defects. */
  public static class Defects {

    @Test
    public void versionsFromClocksHideAcceptedVersions() {
      String violation = "a process that considers itself current lacks an accepted version";
      assertTrue(countFailures(Mistake.VERSION_FROM_CLOCK, DEFECT_SCHEDULES, violation) > 0);
    }

    @Test
    public void evidenceDatedOnArrivalHidesThatAProcessIsBehind() {
      String violation = "a process that considers itself current lacks an accepted version";
      assertTrue(countFailures(Mistake.EVIDENCE_DATED_ON_ARRIVAL, DEFECT_SCHEDULES, violation) > 0);
    }

    @Test
    public void reapplyingOnStartRestoresAnOlderVersion() {
      String violation = "a replacement process put an older version in force";
      assertTrue(countFailures(Mistake.REAPPLY_ON_START, DEFECT_SCHEDULES, violation) > 0);
    }
  }
}
