package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.transport.forward.SilenceSchedule.Load;
import org.testng.annotations.Test;

/** Checks that streams outlast the silences of their targets, however these come. */
public class SilentTargetsLossTest {

  @Test(dataProvider = "loads", dataProviderClass = SilenceLoads.class)
  public void noStreamIsLostWhileTargetsAreSilent(Load load) {
    SilenceSchedule schedule = SilenceLoads.play(load);
    assertEquals(schedule.countLostStreams(), 0, schedule.describe());
  }
}
