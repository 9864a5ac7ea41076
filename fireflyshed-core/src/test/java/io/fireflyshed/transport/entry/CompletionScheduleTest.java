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
  public void guaranteesHoldInEverySchedule() {
    ScheduleRuns.assertNoViolation(
        CompletionScheduleTest.class,
        SEED_PROPERTY,
        SCHEDULES,
        seed -> new CompletionSchedule(seed, Defect.NONE).run());
  }

  /** Returns each injected defect and a part of the violation that the checks report. */
  @DataProvider
  public Object[][] defects() {
    return new Object[][] {
      {Defect.BREAK_REPORTED_AS_END, "truncated"},
      {Defect.UNKNOWN_REPORTED_AS_NOT_RUN, "reported as not run"},
      {Defect.RESUMED_AT_START, "not a prefix"}
    };
  }

  @Test(dataProvider = "defects")
  public void detectsDefect(Defect defect, String expected) {
    ScheduleRuns.assertNoticed(
        defect, expected, DEFECT_SCHEDULES, seed -> new CompletionSchedule(seed, defect).run());
  }
}
