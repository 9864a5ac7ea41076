package io.fireflyshed.bench.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.order.OrderSettings;
import org.testng.annotations.Test;

/** Tests that grouped claims meet their bounds. */
public class OrderLoadTest {

  private static final int RATE = 5000;
  private static final int SECONDS = 2;
  private static final long MAX_P99_MICROS = 1_000_000;

  @Test
  public void groupedClaimsFitTheStore() {
    OrderLoad load =
        new OrderLoad(OrderSettings.ofDefaults(), 9, LimitedStore.Unit.TRANSACTION, 300, 1);
    load.run(RATE, SECONDS);
    String message = "seed 1; bin/fireflyshed bench orders --seconds 2 --seed 1";
    assertEquals(load.getLatencies().getTotalCount(), (long) RATE * SECONDS, message);
    assertTrue(load.getLatencies().getValueAtPercentile(99) < MAX_P99_MICROS, message);
    assertEquals(load.getDoubled(), 0, message);
  }
}
