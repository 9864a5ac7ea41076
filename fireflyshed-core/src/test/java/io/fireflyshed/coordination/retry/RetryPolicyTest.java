package io.fireflyshed.coordination.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.retry.RetryDecision.Retry;
import io.fireflyshed.coordination.retry.RetryDecision.Stop;
import io.fireflyshed.coordination.retry.RetryDecision.StopReason;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.MonotonicClock;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link RetryPolicy} and {@link RetryBudget}. */
public class RetryPolicyTest {

  private static final Duration AMPLE_TIME = Duration.ofMinutes(1);
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private static UniformRandomProvider newRandom() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(1);
  }

  private static RetryBudget newBudget() {
    return new RetryBudget(0.2, WINDOW, () -> 100);
  }

  private static RetryPolicy newPolicy(RetryBudget budget) {
    return new RetryPolicy(RetrySettings.ofDefaults(), budget, new ManualClock(), newRandom());
  }

  /** Tests of the budget. */
  public static class BudgetTest {

    @Test
    public void runsTheExample() {
      RetryBudget budget = new RetryBudget(0.5, Duration.ofSeconds(10), () -> 1);
      budget.onRequest(0);
      boolean isFirstAllowed = budget.tryRetry(0); // true: the allowance pays
      boolean isSecondAllowed = budget.tryRetry(0); // false: half a retry is left
      assertTrue(isFirstAllowed);
      assertFalse(isSecondAllowed);
    }

    @Test
    public void lossOfEveryTargetDoesNotMultiplyTheLoad() {
      int requests = 10_000;
      RetryPolicy policy = newPolicy(newBudget());
      int sent = 0;
      for (int i = 0; i < requests; i++) {
        policy.onRequest();
        sent++;
        int attempts = 1;
        while (policy.decide(Outcome.UNKNOWN, true, attempts, AMPLE_TIME) instanceof Retry) {
          attempts++;
          sent++;
        }
      }
      assertTrue(sent <= requests * 1.2 + 100, "sent " + sent + " attempts");
      assertTrue(sent > requests * 1.1, "sent " + sent + " attempts");
    }
  }

  /** Tests of the window of a budget. */
  public static class WindowTest {

    private static final int REQUESTS = 100;

    private RetryBudget budget;

    /** Creates a budget without an allowance. */
    @BeforeMethod
    public void setUp() {
      budget = new RetryBudget(0.2, WINDOW, () -> 0);
    }

    private int retryUntilRefused(long nowNanos) {
      int retries = 0;
      while (budget.tryRetry(nowNanos)) {
        retries++;
      }
      return retries;
    }

    private void request(long nowNanos) {
      for (int i = 0; i < REQUESTS; i++) {
        budget.onRequest(nowNanos);
      }
    }

    @Test
    public void quietTimeSavesUpNoRetries() {
      for (int second = 0; second < 100; second += 5) {
        request(Duration.ofSeconds(second).toNanos());
      }
      assertEquals(retryUntilRefused(Duration.ofSeconds(99).toNanos()), 40);
    }

    @Test
    public void requestsAreForgottenAfterTheWindow() {
      request(0);
      assertEquals(retryUntilRefused(WINDOW.toNanos()), 0);
      assertEquals(retryUntilRefused(WINDOW.multipliedBy(1000).toNanos()), 0);
    }

    @Test
    public void retriesCountAtLeastAsLongAsTheRequestsThatAllowedThem() {
      request(0);
      assertEquals(retryUntilRefused(0), 20);
      long later = WINDOW.plusMillis(1).toNanos();
      request(later);
      assertEquals(retryUntilRefused(later), 0);
    }

    @Test
    public void smallBackwardStepIsTolerated() {
      request(Duration.ofSeconds(1).toNanos());
      assertEquals(retryUntilRefused(0), 20);
    }
  }

  /** Tests of the decisions. */
  public static class DecisionTest {

    private final RetryPolicy policy = newPolicy(newBudget());

    @Test
    public void runsTheExample() {
      UniformRandomProvider random = newRandom();
      RetryPolicy policy = RetryPolicy.ofDefaults(MonotonicClock.system(), random);
      RetryDecision next = policy.decide(Outcome.UNKNOWN, false, 1, Duration.ofSeconds(5));
      assertEquals(next, new Stop(StopReason.NOT_REPEATABLE));
    }

    @Test
    public void nonIdempotentRequestIsRetriedOnlyAfterNotRun() {
      assertTrue(policy.decide(Outcome.NOT_RUN, false, 1, AMPLE_TIME) instanceof Retry);
      assertEquals(
          policy.decide(Outcome.RAN, false, 1, AMPLE_TIME), new Stop(StopReason.NOT_REPEATABLE));
    }

    @Test
    public void stopsAtLimits() {
      assertEquals(
          policy.decide(Outcome.UNKNOWN, true, 3, AMPLE_TIME),
          new Stop(StopReason.TOO_MANY_ATTEMPTS));
      assertEquals(
          policy.decide(Outcome.UNKNOWN, true, 1, Duration.ZERO), new Stop(StopReason.NO_TIME));
    }

    @Test
    public void delaysAreBounded() {
      for (int i = 0; i < 50; i++) {
        Retry retry = (Retry) policy.decide(Outcome.UNKNOWN, true, 2, AMPLE_TIME);
        assertTrue(retry.delay().compareTo(Duration.ofMillis(100)) <= 0, retry.toString());
      }
    }
  }
}
