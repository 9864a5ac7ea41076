package io.fireflyshed.transport.forward;

import io.fireflyshed.faults.ScheduleRuns;
import io.fireflyshed.transport.forward.ForwardSchedule.Defect;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Forwarder} under seeded schedules of faults. */
public class ForwardScheduleTest {

  private static final String SEED_PROPERTY = "forwardSeed";
  private static final int SCHEDULES = 3000;
  private static final int DEFECT_SCHEDULES = 300;

  @Test
  public void keepsItsPromisesInEverySchedule() {
    ScheduleRuns.assertNoViolation(
        ForwardScheduleTest.class,
        SEED_PROPERTY,
        SCHEDULES,
        seed -> new ForwardSchedule(seed, Defect.NONE).run());
  }

  /** Gets the deliberate mistakes and what the checks say of them. */
  @DataProvider
  public Object[][] defects() {
    return new Object[][] {
      {Defect.UNKNOWN_TOLD_AS_NOT_RUN, "told as not run"},
      {Defect.UNKNOWN_TOLD_AS_NOT_RUN, "ran too often"},
      {Defect.ALL_REPEATABLE, "ran too often"},
      {Defect.RESUMED_TOO_LATE, "mixed"}
    };
  }

  @Test(dataProvider = "defects")
  public void noticesDefect(Defect defect, String expected) {
    ScheduleRuns.assertNoticed(
        defect, expected, DEFECT_SCHEDULES, seed -> new ForwardSchedule(seed, defect).run());
  }
}
