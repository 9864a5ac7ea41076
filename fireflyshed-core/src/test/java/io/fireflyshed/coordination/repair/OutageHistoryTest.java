package io.fireflyshed.coordination.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link OutageHistory}. */
public class OutageHistoryTest {

  private static final double REPLACEMENT_COST_SECONDS = 120;

  @Test
  public void waitsJustLongEnoughForTypicalOutage() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.recordTransientOutage(8);
      history.recordPermanentOutage();
    }
    double waitLimit = history.getWaitLimitSeconds(REPLACEMENT_COST_SECONDS);
    assertTrue(waitLimit >= 8 && waitLimit < 16, "wait limit " + waitLimit);
  }

  @Test
  public void doesNotWaitIfEveryOutageIsPermanent() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.recordPermanentOutage();
    }
    assertEquals(history.getWaitLimitSeconds(REPLACEMENT_COST_SECONDS), 0.0);
  }

  @Test
  public void neverWaitsLongerThanReplacementCosts() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.recordTransientOutage(REPLACEMENT_COST_SECONDS * 2);
      assertTrue(history.getWaitLimitSeconds(REPLACEMENT_COST_SECONDS) <= REPLACEMENT_COST_SECONDS);
    }
  }

  @Test
  public void adaptsToShorterOutages() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 2_000; i++) {
      history.recordTransientOutage(50);
    }
    for (int i = 0; i < 2_000; i++) {
      history.recordTransientOutage(5);
    }
    assertTrue(history.getWaitLimitSeconds(REPLACEMENT_COST_SECONDS) < REPLACEMENT_COST_SECONDS);
    assertTrue(history.getWaitLimitSeconds(REPLACEMENT_COST_SECONDS) >= 5);
  }
}
