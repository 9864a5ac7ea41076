package io.fireflyshed.coordination.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.retry.RetryDecision.Retry;
import io.fireflyshed.coordination.retry.RetryDecision.Stop;
import io.fireflyshed.coordination.retry.RetryDecision.StopReason;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Tests {@link RetryPolicy} and {@link RetryBudget}. */
public class RetryPolicyTest {

  private static final Duration AMPLE_TIME = Duration.ofMinutes(1);

  private static UniformRandomProvider newRandom() {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(1);
  }

  private static RetryPolicy newPolicy(RetryBudget budget) {
    return new RetryPolicy(RetrySettings.ofDefaults(), budget, newRandom());
  }

  /** Tests of the budget. */
  public static class BudgetTest {

    @Test
    public void runsTheExample() {
      RetryBudget budget = new RetryBudget(0.5, 10, 1);
      budget.onRequest();
      boolean isFirstAllowed = budget.tryRetry(); // true: the initial balance pays
      boolean isSecondAllowed = budget.tryRetry(); // false: half a token is left
      assertTrue(isFirstAllowed);
      assertFalse(isSecondAllowed);
    }

    @Test
    public void lossOfEveryTargetDoesNotMultiplyTheLoad() {
      int requests = 10_000;
      RetryPolicy policy = newPolicy(new RetryBudget(0.2, 100, 100));
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

  /** Tests of the decisions. */
  public static class DecisionTest {

    private final RetryPolicy policy = newPolicy(new RetryBudget(0.2, 100, 100));

    @Test
    public void runsTheExample() {
      UniformRandomProvider random = newRandom();
      RetryPolicy policy =
          new RetryPolicy(RetrySettings.ofDefaults(), new RetryBudget(0.2, 100, 10), random);
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
