package io.fireflyshed.coordination.cost;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.cost.WorkloadRun.Estimates;
import io.fireflyshed.coordination.cost.WorkloadRun.Load;
import io.fireflyshed.coordination.cost.WorkloadRun.Policy;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get if requests are placed by their expected first event. */
public class WorkloadTest {

  private static final Duration LENGTH = Duration.ofSeconds(24);
  private static final Duration PERIOD = Duration.ofMillis(200);
  private static final int SIZE_CLASSES = 3;
  private static final long[] SEEDS = {1, 2, 3};

  /** Provides loads and the greatest p99 as a part of that of least requests. */
  @DataProvider
  public static Object[][] loads() {
    return new Object[][] {
      {new Load(36, 24, 0.85, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD), 0.9},
      {new Load(87, 48, 0.85, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD), 0.9},
      {new Load(36, 24, 0.7, 0.3, false, Estimates.MEDIAN_RIGHT, 1, PERIOD), 0.9},
      {new Load(36, 24, 0.7, 0, true, Estimates.MEDIAN_RIGHT, 1, PERIOD), 0.9},
      {new Load(36, 24, 0.85, 0, false, Estimates.FIVE_TIMES_TOO_LARGE, 1, PERIOD), 1},
      {new Load(36, 24, 0.85, 0, false, Estimates.HEAVY_TAILED, 1, PERIOD), 1},
      {new Load(36, 24, 0.85, 0, false, Estimates.HOSTILE, 1, PERIOD), 1},
      {new Load(36, 24, 0.75, 0, false, Estimates.MEDIAN_RIGHT, 5, PERIOD), 0.95},
      {new Load(36, 24, 0.85, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD.multipliedBy(4)), 0.9},
      {new Load(36, 24, 0.85, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD.multipliedBy(10)), 0.9},
      {new Load(1, 24, 0.85, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD), 0.7},
    };
  }

  @Test(dataProvider = "loads")
  public void callersWaitLessThanWithLeastRequests(Load load, double maxPart) {
    double requests = 0;
    double expected = 0;
    double requestsLate = 0;
    double expectedLate = 0;
    for (long seed : SEEDS) {
      WorkloadRun.Result least = run(load, Policy.LEAST_REQUESTS, seed).getResult();
      WorkloadRun.Result first = run(load, Policy.EXPECTED_FIRST_EVENT, seed).getResult();
      requests += least.getQuantile(0.99);
      expected += first.getQuantile(0.99);
      requestsLate += least.getLateShare();
      expectedLate += first.getLateShare();
    }
    assertTrue(expected < maxPart * requests, "p99 " + expected + " against " + requests);
    assertTrue(expectedLate < requestsLate, "late " + expectedLate + " against " + requestsLate);
  }

  @Test(dataProvider = "loads")
  public void noSizeIsServedLessThanHalfAsOften(Load load, double maxPart) {
    WorkloadRun run = run(load, Policy.EXPECTED_FIRST_EVENT, SEEDS[0]);
    double best = 0;
    double worst = 1;
    for (int i = 0; i < SIZE_CLASSES; i++) {
      double served = 1 - run.getResult(i).getLateShare();
      best = Math.max(best, served);
      worst = Math.min(worst, served);
    }
    assertTrue(worst > best / 2, run.toString());
  }

  /** Provides loads as multiples of the capacity. */
  @DataProvider
  public static Object[][] overloads() {
    return new Object[][] {{1.2}, {1.5}, {2.0}};
  }

  @Test(dataProvider = "overloads")
  public void overloadLeavesSomeCallersInTime(double utilization) {
    Load load = new Load(36, 24, utilization, 0, false, Estimates.MEDIAN_RIGHT, 1, PERIOD);
    double kept = 0;
    double queued = 0;
    for (long seed : SEEDS) {
      WorkloadRun run = new WorkloadRun(load, Policy.EXPECTED_FIRST_EVENT, seed);
      queued += 1 - run.withoutLatencyTarget().run(LENGTH).getResult().getLateShare();
      kept += 1 - run(load, Policy.EXPECTED_FIRST_EVENT, seed).getResult().getLateShare();
    }
    assertTrue(kept > queued, "in time " + kept + " against " + queued);
  }

  private static WorkloadRun run(Load load, Policy policy, long seed) {
    return new WorkloadRun(load, policy, seed).run(LENGTH);
  }
}
