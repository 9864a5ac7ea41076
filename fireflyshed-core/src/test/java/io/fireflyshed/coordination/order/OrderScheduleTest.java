package io.fireflyshed.coordination.order;

import io.fireflyshed.coordination.order.OrderSchedule.Defect;
import io.fireflyshed.faults.ScheduleRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link OrderLedger} with fault schedules drawn from seeds. */
public class OrderScheduleTest {

  private static final String SEED_PROPERTY = "orderSeed";
  private static final int SCHEDULES = 8000;
  private static final int DEFECT_SCHEDULES = 300;

  /** Tests of the ledger without injected defects. */
  public static class GuaranteesTest {

    @Test
    public void holdInEverySchedule() {
      ScheduleRuns.assertNoViolation(
          OrderScheduleTest.class,
          SEED_PROPERTY,
          SCHEDULES,
          seed -> new OrderSchedule(seed, Defect.NONE).run());
    }
  }

  /** Tests that the checks detect injected defects. */
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
    public void detectsDefect(Defect defect, String expected) {
      ScheduleRuns.assertNoticed(
          defect, expected, DEFECT_SCHEDULES, seed -> new OrderSchedule(seed, defect).run());
    }
  }
}
