package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.transport.forward.ForwardSchedule.Defect;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Forwarder} under seeded schedules of faults. */
public class ForwardScheduleTest {

  private static final String SEED_PROPERTY = "forwardSeed";
  private static final String COMMAND =
      "mvn -pl fireflyshed-core test -Dtest=ForwardScheduleTest -DforwardSeed=";
  private static final int SCHEDULES = 3000;
  private static final int DEFECT_SCHEDULES = 300;

  @Test
  public void keepsItsPromisesInEverySchedule() {
    Long only = Long.getLong(SEED_PROPERTY);
    long first = only == null ? 1 : only;
    long last = only == null ? SCHEDULES : only;
    for (long seed = first; seed <= last; seed++) {
      List<String> violations = new ForwardSchedule(seed, Defect.NONE).run();
      assertTrue(violations.isEmpty(), "seed " + seed + ": " + violations + "; " + COMMAND + seed);
    }
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
    int noticed = 0;
    for (long seed = 1; seed <= DEFECT_SCHEDULES; seed++) {
      List<String> violations = new ForwardSchedule(seed, defect).run();
      noticed += violations.stream().anyMatch(v -> v.contains(expected)) ? 1 : 0;
    }
    assertTrue(noticed > 0, defect + " was not noticed in " + DEFECT_SCHEDULES + " schedules");
  }
}
