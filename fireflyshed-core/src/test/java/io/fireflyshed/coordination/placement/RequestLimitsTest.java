package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how {@link RequestLimits} takes rates and stated limits together. */
public class RequestLimitsTest {

  private static final Target TARGET =
      new Target(
          new InstanceId("t1"),
          new ServiceName("s"),
          InetSocketAddress.createUnresolved("127.0.0.1", 1),
          new AvailabilityZone("a"),
          false,
          1,
          1,
          Optional.empty());

  private ManualClock clock;
  private Optional<TurnRate> rate;
  private int turns;
  private RequestLimits limits;

  /** Creates limits of the only entry, which has known its position for long. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    rate = Optional.of(new TurnRate(20, Duration.ofMillis(300)));
    turns = 0;
    TurnRates rates =
        new TurnRates() {
          @Override
          public Optional<TurnRate> get(Target target) {
            return rate;
          }

          @Override
          public void onTurnUsed() {
            turns++;
          }

          @Override
          public void onContactLost(InstanceId target) {}
        };
    EntrySchedule schedule = new EntrySchedule(0, 1, new SharedClock(clock), rates);
    schedule.setRank(0, 1);
    schedule.onTimeRead(Duration.ofDays(1), clock.nanoTime(), clock.nanoTime());
    clock.advance(Duration.ofSeconds(20));
    limits = new RequestLimits(schedule);
  }

  /** Places as many requests as admitted in a second; returns their number. */
  private int placeForASecond(int requestsPerStep) {
    int placed = 0;
    for (int step = 0; step < 100; step++) {
      for (int i = 0; i < requestsPerStep && limits.getWaitNanos(TARGET) == 0; i++) {
        limits.use(TARGET);
        placed++;
      }
      clock.advance(Duration.ofMillis(10));
    }
    return placed;
  }

  @Test
  public void requestsThatAreNotSentYetTakeTheirTurns() {
    int placed = placeForASecond(100);
    assertTrue(placed >= 20 && placed <= 27, "placed: " + placed);
    assertEquals(turns, placed);
  }

  @Test
  public void lowerOfLimitAndRateBinds() {
    limits.onLimit(TARGET.id(), OptionalDouble.of(4));
    int limited = placeForASecond(100);
    assertTrue(limited >= 4 && limited <= 6, "placed: " + limited);
    limits.onLimit(TARGET.id(), OptionalDouble.of(1000));
    int rated = placeForASecond(100);
    assertTrue(rated >= 20 && rated <= 27, "placed: " + rated);
  }

  @Test
  public void targetIsUsedAtAnyTimeOnceItHasNoRate() {
    placeForASecond(1);
    rate = Optional.empty();
    assertEquals(placeForASecond(100), 100 * 100);
  }
}
