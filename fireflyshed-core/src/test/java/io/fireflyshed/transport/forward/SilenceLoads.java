package io.fireflyshed.transport.forward;

import io.fireflyshed.transport.forward.SilenceSchedule.Load;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.DataProvider;

/** Provides deployments whose targets fall silent, and plays each of them once. */
public final class SilenceLoads {

  private static final int SEED = 46;

  private static final Map<Load, SilenceSchedule> SCHEDULES = new HashMap<>();

  private SilenceLoads() {}

  /** Provides silences of sound targets, alone and with other disturbances. */
  @DataProvider
  public static Object[][] loads() {
    return new Object[][] {
      {new Load(22, 18, 110, 2, 1200, 6000, 0, 1, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 3000, 0, 1, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 2000, 0, 0.6, 0, 0, 0)},
      {new Load(22, 18, 110, 3, 1400, 3000, 0, 1, 0, 2, 0.3)},
      {new Load(22, 18, 110, 3, 1300, 3000, 0, 1, 3, 0, 0)},
      {new Load(22, 6, 110, 3, 1300, 3000, 0, 0.6, 3, 1, 0.3)},
      {new Load(22, 6, 110, 3, 1300, 3000, 0, 0.6, 0, 0, 0)},
      {new Load(22, 4, 110, 2, 1300, 2000, 0, 0.6, 3, 0, 0)},
      {new Load(22, 4, 110, 3, 1300, 2000, 0, 0.6, 6, 2, 0.3)},
      {new Load(9, 26, 110, 3, 1900, 4500, 120, 1, 0, 0, 0)},
      {new Load(9, 8, 110, 3, 1900, 4500, 120, 1, 0, 0, 0)},
      {new Load(10, 9, 110, 3, 2000, 4500, 0, 0.6, 0, 0, 0)},
      {new Load(12, 12, 110, 2, 2700, 4500, 60, 1, 0, 0, 0)},
      {new Load(12, 16, 150, 3, 1900, 4500, 60, 1, 2, 1, 0.1)},
    };
  }

  /** Plays a load, or returns its schedule if it was played before. */
  static synchronized SilenceSchedule play(Load load) {
    return SCHEDULES.computeIfAbsent(
        load,
        key -> {
          SilenceSchedule schedule = new SilenceSchedule(SEED, load);
          schedule.run();
          return schedule;
        });
  }
}
