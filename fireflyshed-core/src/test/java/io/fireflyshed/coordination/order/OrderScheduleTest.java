package io.fireflyshed.coordination.order;

import io.fireflyshed.coordination.order.OrderSchedule.Defect;
import io.fireflyshed.faults.ScheduleRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link OrderLedger} under seeded schedules of faults. */
public class OrderScheduleTest {

  private static final String SEED_PROPERTY = "orderSeed";
  private static final int SCHEDULES = 8000;
  private static final int DEFECT_SCHEDULES = 300;

  /** Tests of the ledger as it is. */
  public static class SoundTest {

    @Test
    public void keepsItsPromisesInEverySchedule() {
      ScheduleRuns.assertNoViolation(
          OrderScheduleTest.class,
          SEED_PROPERTY,
          SCHEDULES,
          seed -> new OrderSchedule(seed, Defect.NONE).run());
    }
  }

  /** Tests that the checks notice deliberate mistakes. */
  public static class DefectTest {

    @DataProvider
    public Object[][] defects() {
      return new Object[][] {
        {Defect.RETRY_AFTER_UNKNOWN, "times"},
        {Defect.CLAIM_NOT_AWAITED, "times"},
        {Defect.ATTEMPT_IGNORED, "times"}
      };
    }

    @Test(dataProvider = "defects")
    public void noticesDefect(Defect defect, String expected) {
      ScheduleRuns.assertNoticed(
          defect, expected, DEFECT_SCHEDULES, seed -> new OrderSchedule(seed, defect).run());
    }
  }
}
