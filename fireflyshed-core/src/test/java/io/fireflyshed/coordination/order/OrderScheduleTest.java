package io.fireflyshed.coordination.order;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.order.OrderSchedule.Defect;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link OrderLedger} under seeded schedules of faults. */
public class OrderScheduleTest {

  private static final String SEED_PROPERTY = "orderSeed";
  private static final String COMMAND =
      "mvn -pl fireflyshed-core test -Dtest=OrderScheduleTest -DorderSeed=";
  private static final int SCHEDULES = 8000;
  private static final int DEFECT_SCHEDULES = 300;

  /** Tests of the ledger as it is. */
  public static class SoundTest {

    @Test
    public void keepsItsPromisesInEverySchedule() {
      Long only = Long.getLong(SEED_PROPERTY);
      long first = only == null ? 1 : only;
      long last = only == null ? SCHEDULES : only;
      for (long seed = first; seed <= last; seed++) {
        List<String> violations = new OrderSchedule(seed, Defect.NONE).run();
        assertTrue(
            violations.isEmpty(), "seed " + seed + ": " + violations + "; " + COMMAND + seed);
      }
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
      int noticed = 0;
      for (long seed = 1; seed <= DEFECT_SCHEDULES; seed++) {
        List<String> violations = new OrderSchedule(seed, defect).run();
        noticed += violations.stream().anyMatch(v -> v.contains(expected)) ? 1 : 0;
      }
      assertTrue(noticed > 0, defect + " was not noticed in " + DEFECT_SCHEDULES + " schedules");
    }
  }
}
