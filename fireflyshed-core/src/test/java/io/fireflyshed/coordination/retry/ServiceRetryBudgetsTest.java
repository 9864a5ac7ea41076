package io.fireflyshed.coordination.retry;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ServiceRetryBudgets}. */
public class ServiceRetryBudgetsTest {

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int ALLOWANCE = 10;

  private ServiceRetryBudgets budgets;

  /** Creates budgets of ten retries in a window. */
  @BeforeMethod
  public void setUp() {
    budgets = new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> ALLOWANCE);
  }

  private int retryUntilRefused(ServiceName service, Outcome outcome) {
    int retries = 0;
    while (budgets.tryRetry(service, outcome, 0)) {
      retries++;
    }
    return retries;
  }

  @Test
  public void servicesHaveBudgetsOfTheirOwn() {
    assertEquals(retryUntilRefused(SERVICE, Outcome.UNKNOWN), ALLOWANCE);
    assertEquals(retryUntilRefused(new ServiceName("desk"), Outcome.UNKNOWN), ALLOWANCE);
  }

  @Test
  public void rejectedAttemptsLeaveBudgetToInterruptedOnes() {
    assertEquals(retryUntilRefused(SERVICE, Outcome.NOT_RUN), ALLOWANCE / 2);
    assertEquals(retryUntilRefused(SERVICE, Outcome.UNKNOWN), ALLOWANCE / 2);
    assertEquals(retryUntilRefused(SERVICE, Outcome.NOT_RUN), 0);
  }
}
