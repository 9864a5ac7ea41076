package io.fireflyshed.coordination.formation;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link LoadBudget}. */
public class LoadBudgetTest {

  private static final Duration WINDOW = Duration.ofSeconds(5);

  private static LoadBudget newBudget() {
    LoadBudget budget = new LoadBudget(WINDOW);
    budget.setLimit(9);
    return budget;
  }

  @Test
  public void anyWindowHoldsAtMostTheLimit() {
    LoadBudget budget = newBudget();
    assertTrue(budget.isAllowed(6, 0));
    budget.recordStarts(6, 0);
    assertFalse(budget.isAllowed(6, WINDOW.toNanos()));
    assertTrue(budget.isAllowed(3, WINDOW.toNanos()));
    assertTrue(budget.isAllowed(6, WINDOW.toNanos() + 1));
  }

  @Test
  public void successorWaitsUntilLoadsOfItsPredecessorHaveExpired() {
    LoadBudget budget = newBudget();
    budget.fill(0);
    assertFalse(budget.isAllowed(1, 1));
    assertTrue(budget.isAllowed(0, 1));
    assertTrue(budget.isAllowed(9, WINDOW.toNanos() + 1));
  }

  @Test
  public void loadsThatThePredecessorCannotHaveBegunAreAllowed() {
    LoadBudget budget = newBudget();
    budget.fill(0);
    budget.recordStarts(1, 5);
    budget.limitFill(6, 0);
    assertTrue(budget.isAllowed(2, 10));
    assertFalse(budget.isAllowed(3, 10));
    assertFalse(budget.isAllowed(9, WINDOW.toNanos() + 1));
    assertTrue(budget.isAllowed(8, WINDOW.toNanos() + 1));
  }

  @Test
  public void unlimitedLoadsAreAllowedButCounted() {
    LoadBudget budget = newBudget();
    budget.setUnlimited(true);
    budget.recordStarts(50, 0);
    assertTrue(budget.isAllowed(50, 1));
    budget.setUnlimited(false);
    assertFalse(budget.isAllowed(1, 2));
  }
}
