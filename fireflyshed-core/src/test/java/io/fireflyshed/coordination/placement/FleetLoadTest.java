package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from many entries that tell each other their load. */
public class FleetLoadTest {

  /**
   * The requests per second of 95 entries that keep the replicas busy for two thirds of the time.
   */
  private static final double USUAL_RATE = 616;

  private static final double HIGH_RATE = 800;
  private static final Duration LENGTH = Duration.ofSeconds(12);

  /** Provides seeds. */
  @DataProvider
  public static Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}};
  }

  private static FleetLoadRun run(double rate, boolean isLoadTold, long seed) {
    return new FleetLoadRun(95, 100, 5, isLoadTold, seed).run(rate, LENGTH);
  }

  @Test(dataProvider = "seeds")
  public void fewerCallersWaitIfEntriesKnowTheLoadOfAll(long seed) {
    FleetLoadRun unknown = run(USUAL_RATE, false, seed);
    FleetLoadRun known = run(USUAL_RATE, true, seed);
    assertTrue(
        known.getQueuedShare() < unknown.getQueuedShare() / 2,
        "known: " + known + ", unknown: " + unknown);
  }

  @Test(dataProvider = "seeds")
  public void replicasRejectNoneIfEntriesKnowTheLoadOfAll(long seed) {
    FleetLoadRun unknown = run(HIGH_RATE, false, seed);
    FleetLoadRun known = run(HIGH_RATE, true, seed);
    assertTrue(unknown.getRejectedShare() > 0, "the load is too low: " + unknown);
    assertTrue(known.getRejectedShare() == 0, "rejected: " + known);
  }
}
