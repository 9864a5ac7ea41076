package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.transport.forward.SilenceSchedule.Load;
import org.testng.annotations.Test;

/** Checks the attempts of a deployment whose targets fall silent. */
public class SilentTargetsBudgetTest {

  @Test(dataProvider = "loads", dataProviderClass = SilenceLoads.class)
  public void repeatsOfAllEntriesStayWithinTheBudgetWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = SilenceLoads.play(load);
    assertEquals(schedule.findExcess(), "", schedule.describe());
  }

  @Test(dataProvider = "loads", dataProviderClass = SilenceLoads.class)
  public void noRequestRunsAtMoreTargetsThanItsRouteAllowsWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = SilenceLoads.play(load);
    assertEquals(schedule.countExcessiveRuns(), 0, schedule.describe());
  }

  @Test(dataProvider = "loads", dataProviderClass = SilenceLoads.class)
  public void noAttemptIsHandedMoreTimeThanIsLeftWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = SilenceLoads.play(load);
    assertEquals(schedule.countOverlongTimes(), 0, schedule.describe());
  }
}
