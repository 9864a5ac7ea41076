package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.transport.forward.SilenceSchedule.Load;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the attempts of a deployment whose targets fall silent together. */
public class SilentTargetsBudgetTest {

  private static final int SEED = 46;

  /** Provides silences of sound targets, alone and with other disturbances. */
  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {new Load(22, 18, 110, 2, 1200, 6000, 1, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 3000, 1, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 2000, 0.6, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 3000, 1, 0, 2, 0.3)},
      {new Load(22, 18, 110, 3, 1300, 3000, 1, 3, 0, 0)},
      {new Load(22, 6, 110, 3, 1300, 3000, 0.6, 3, 1, 0.3)},
      {new Load(22, 6, 110, 3, 1300, 3000, 0.6, 0, 0, 0)},
      {new Load(22, 4, 110, 2, 1300, 2000, 0.6, 3, 0, 0)},
      {new Load(22, 4, 110, 3, 1300, 2000, 0.6, 6, 2, 0.3)},
    };
  }

  private final Map<Load, SilenceSchedule> schedules = new HashMap<>();

  private SilenceSchedule play(Load load) {
    return schedules.computeIfAbsent(
        load,
        key -> {
          SilenceSchedule schedule = new SilenceSchedule(SEED, load);
          schedule.run();
          return schedule;
        });
  }

  @Test(dataProvider = "loads")
  public void repeatsOfAllEntriesStayWithinTheBudgetWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = play(load);
    assertEquals(schedule.findExcess(), "", schedule.describe());
  }

  @Test(dataProvider = "loads")
  public void noRequestRunsAtMoreTargetsThanItsRouteAllowsWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = play(load);
    assertEquals(schedule.countExcessiveRuns(), 0, schedule.describe());
  }

  @Test(dataProvider = "loads")
  public void noAttemptIsHandedMoreTimeThanIsLeftWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = play(load);
    assertEquals(schedule.countOverlongTimes(), 0, schedule.describe());
  }
}
