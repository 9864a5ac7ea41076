package io.fireflyshed.transport.forward;

import io.fireflyshed.faults.ScheduleRuns;
import io.fireflyshed.transport.forward.ResponseSchedule.Defect;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with fixed seeds that responses of any size and speed, which may break off, arrive whole or
 * end with an error.
 */
public class ResponseScheduleTest {

  private static final String SEED_PROPERTY = "responseSeed";
  private static final int SCHEDULES = 2000;
  private static final int DEFECT_SCHEDULES = 100;

  @Test
  public void noResponseThatBrokeOffLooksWhole() {
    ScheduleRuns.assertNoViolation(
        ResponseScheduleTest.class, SEED_PROPERTY, SCHEDULES, seed -> run(seed, Defect.NONE));
  }

  /** Gets deliberate defects, each with a part of the violation that the checks must report. */
  @DataProvider
  public Object[][] defects() {
    return new Object[][] {
      {Defect.CUT_TAKEN_AS_END, "looks whole"}, {Defect.PART_LEFT_OUT, "looks whole"}
    };
  }

  @Test(dataProvider = "defects")
  public void checksDetectDefect(Defect defect, String expectedViolation) {
    ScheduleRuns.assertNoticed(
        defect, expectedViolation, DEFECT_SCHEDULES, seed -> run(seed, defect));
  }

  private static List<String> run(long seed, Defect defect) {
    ResponseSchedule schedule = new ResponseSchedule(seed, defect);
    return schedule.run().stream().map(violation -> violation + "; " + schedule).toList();
  }
}
