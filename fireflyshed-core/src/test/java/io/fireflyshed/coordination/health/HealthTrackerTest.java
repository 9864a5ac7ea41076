package io.fireflyshed.coordination.health;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.instance.BootId;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link HealthTracker}. */
public class HealthTrackerTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final InstanceId INSTANCE = new InstanceId("i1");
  private static final BootId BOOT = new BootId("b1");

  private static HealthTracker newTracker() {
    HealthTracker tracker = new HealthTracker(HealthSettings.ofDefaults());
    tracker.onAnswer(INSTANCE, BOOT, 0, 0);
    return tracker;
  }

  /** Tests of pauses. */
  public static class Pauses {

    @Test
    public void becomesSuspectAtOnceAndFailedLater() {
      HealthTracker tracker = newTracker();
      tracker.onFailure(INSTANCE, SECOND);
      assertEquals(tracker.getHealth(INSTANCE, SECOND), InstanceHealth.SUSPECT);
      assertEquals(tracker.getHealth(INSTANCE, 15 * SECOND), InstanceHealth.FAILED);
      tracker.onAnswer(INSTANCE, BOOT, 16 * SECOND, 16 * SECOND);
      assertEquals(tracker.getHealth(INSTANCE, 16 * SECOND), InstanceHealth.HEALTHY);
    }
  }

  /** Tests of slow answers. */
  public static class SlowAnswers {

    @Test
    public void changesOnlyAfterConsecutiveAnswers() {
      HealthTracker tracker = newTracker();
      for (int i = 1; i <= 5; i++) {
        assertEquals(tracker.getHealth(INSTANCE, i * SECOND), InstanceHealth.HEALTHY);
        tracker.onAnswer(INSTANCE, BOOT, i * SECOND, (i + 1) * SECOND);
      }
      for (int i = 10; i < 15; i++) {
        assertEquals(tracker.getHealth(INSTANCE, i * SECOND), InstanceHealth.SUSPECT);
        tracker.onAnswer(INSTANCE, BOOT, i * SECOND, i * SECOND);
      }
      assertEquals(tracker.getHealth(INSTANCE, 15 * SECOND), InstanceHealth.HEALTHY);
    }
  }

  /** Tests of flapping instances. */
  public static class Flapping {

    @Test
    public void staysUnstableUntilPenaltyHasDecayed() {
      HealthTracker tracker = newTracker();
      for (int i = 1; i <= 3; i++) {
        tracker.onFailure(INSTANCE, i * SECOND);
        tracker.onAnswer(INSTANCE, new BootId("c" + i), i * SECOND, i * SECOND);
      }
      assertEquals(tracker.getHealth(INSTANCE, 4 * SECOND), InstanceHealth.UNSTABLE);
      long later = Duration.ofMinutes(8).toNanos();
      tracker.onAnswer(INSTANCE, new BootId("c3"), later, later);
      assertEquals(tracker.getHealth(INSTANCE, later), InstanceHealth.UNSTABLE);
      long muchLater = Duration.ofMinutes(17).toNanos();
      tracker.onAnswer(INSTANCE, new BootId("c3"), muchLater, muchLater);
      assertEquals(tracker.getHealth(INSTANCE, muchLater), InstanceHealth.HEALTHY);
    }

    @Test
    public void countsRestartBetweenProbes() {
      HealthTracker tracker = newTracker();
      for (int i = 1; i <= 3; i++) {
        tracker.onAnswer(INSTANCE, new BootId("c" + i), i * SECOND, i * SECOND);
      }
      assertEquals(tracker.getHealth(INSTANCE, 4 * SECOND), InstanceHealth.UNSTABLE);
    }
  }
}
