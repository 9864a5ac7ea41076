package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.traffic.Rank;
import java.time.Duration;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link DemandMeter}. */
public class DemandMeterTest {

  private static final String POOL = "pool";
  private static final PoolDemand.Key KEY = new PoolDemand.Key(POOL, Rank.FIRST);
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  private static Map<PoolDemand.Key, PoolDemand> newDemands(double arrivals) {
    return Map.of(KEY, new PoolDemand(arrivals, 0, 0, 0));
  }

  @Test
  public void entryThatHearsNothingForASecondTakesTheOthersForSimilar() {
    DemandMeter meter = new DemandMeter();
    for (int i = 0; i < 4; i++) {
      meter.onArrival(RequestDescriptor.ofPool(POOL, false), 0);
    }
    assertEquals(meter.getArrivalRates(POOL, 0), Map.of());
    assertEquals(meter.take(2), newDemands(2));
    assertEquals(meter.getArrivalRates(POOL, 0), Map.of(Rank.FIRST, 2.0));
    meter.onFleetLoad(new FleetLoad(Map.of(), 9, newDemands(50)), SECOND_NANOS);
    assertEquals(meter.getArrivalRates(POOL, SECOND_NANOS), Map.of(Rank.FIRST, 50.0));
    assertEquals(meter.getArrivalRates(POOL, 2 * SECOND_NANOS), Map.of(Rank.FIRST, 18.0));
    assertEquals(meter.getArrivalRates("other", SECOND_NANOS), Map.of());
  }
}
