package io.fireflyshed.coordination.repair;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link OutageHistory}. */
public class OutageHistoryTest {

  private static final double PRICE_SECONDS = 120;

  @Test
  public void waitsJustLongEnoughForTheUsualPause() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.addPause(8);
      history.addLoss();
    }
    double patience = history.getPatienceSeconds(PRICE_SECONDS);
    assertTrue(patience >= 8 && patience < 16, "patience " + patience);
  }

  @Test
  public void doesNotWaitIfNothingEverComesBack() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.addLoss();
    }
    assertEquals(history.getPatienceSeconds(PRICE_SECONDS), 0.0);
  }

  @Test
  public void neverWaitsBeyondThePrice() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 500; i++) {
      history.addPause(PRICE_SECONDS * 2);
      assertTrue(history.getPatienceSeconds(PRICE_SECONDS) <= PRICE_SECONDS);
    }
  }

  @Test
  public void forgetsAnOldHabit() {
    OutageHistory history = new OutageHistory();
    for (int i = 0; i < 2_000; i++) {
      history.addPause(50);
    }
    for (int i = 0; i < 2_000; i++) {
      history.addPause(5);
    }
    assertTrue(history.getPatienceSeconds(PRICE_SECONDS) < PRICE_SECONDS);
    assertTrue(history.getPatienceSeconds(PRICE_SECONDS) >= 5);
  }
}
