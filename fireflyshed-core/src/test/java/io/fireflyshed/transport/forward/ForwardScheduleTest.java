package io.fireflyshed.transport.forward;

import io.fireflyshed.faults.ScheduleRuns;
import io.fireflyshed.transport.forward.ForwardSchedule.Defect;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Forwarder} under random fault schedules with fixed seeds. */
public class ForwardScheduleTest {

  private static final String SEED_PROPERTY = "forwardSeed";
  private static final int SCHEDULES = 3000;
  private static final int DEFECT_SCHEDULES = 300;

  @Test
  public void noScheduleViolatesAnInvariant() {
    ScheduleRuns.assertNoViolation(
        ForwardScheduleTest.class,
        SEED_PROPERTY,
        SCHEDULES,
        seed -> new ForwardSchedule(seed, Defect.NONE).run());
  }

  /** Gets deliberate defects, each with a part of the violation that the checks must report. */
  @DataProvider
  public Object[][] defects() {
    return new Object[][] {
      {Defect.UNKNOWN_REPORTED_AS_NOT_RUN, "reported as not run"},
      {Defect.UNKNOWN_REPORTED_AS_NOT_RUN, "ran too often"},
      {Defect.ALL_RETRYABLE, "ran too often"},
      {Defect.RESUMED_TOO_LATE, "mixed"}
    };
  }

  @Test(dataProvider = "defects")
  public void checksDetectDefect(Defect defect, String expectedViolation) {
    ScheduleRuns.assertNoticed(
        defect,
        expectedViolation,
        DEFECT_SCHEDULES,
        seed -> new ForwardSchedule(seed, defect).run());
  }
}
