package io.fireflyshed.transport.entry;

import io.fireflyshed.faults.ScheduleRuns;
import io.fireflyshed.transport.entry.CompletionSchedule.Defect;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CompletionRunner} under seeded schedules of faults. */
public class CompletionScheduleTest {

  private static final String SEED_PROPERTY = "streamSeed";
  private static final int SCHEDULES = 6000;
  private static final int DEFECT_SCHEDULES = 200;

  @Test
  public void keepsItsPromisesInEverySchedule() {
    ScheduleRuns.assertNoViolation(
        CompletionScheduleTest.class,
        SEED_PROPERTY,
        SCHEDULES,
        seed -> new CompletionSchedule(seed, Defect.NONE).run());
  }

  /** Gets the deliberate mistakes and what the checks say of them. */
  @DataProvider
  public Object[][] defects() {
    return new Object[][] {
      {Defect.CUT_TAKEN_AS_END, "truncated"},
      {Defect.UNKNOWN_TOLD_AS_NOT_RUN, "told as not run"},
      {Defect.RESUMED_AT_START, "mixed"}
    };
  }

  @Test(dataProvider = "defects")
  public void noticesDefect(Defect defect, String expected) {
    ScheduleRuns.assertNoticed(
        defect, expected, DEFECT_SCHEDULES, seed -> new CompletionSchedule(seed, defect).run());
  }
}
