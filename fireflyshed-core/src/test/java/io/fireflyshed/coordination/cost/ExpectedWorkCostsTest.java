package io.fireflyshed.coordination.cost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.RequestRun;
import io.fireflyshed.coordination.placement.TargetRating;
import io.fireflyshed.coordination.placement.TargetState;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ExpectedWorkCosts}. */
public class ExpectedWorkCostsTest {

  private static final long MILLI = 1_000_000;
  private static final int TARGETS = 5;

  private ExpectedWorkCosts costs;

  /** Provides seeds. */
  @DataProvider
  public static Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  /** Forgets what was learned. */
  @BeforeMethod
  public void reset() {
    costs = new ExpectedWorkCosts(() -> Optional.of(CostFixtures.newConfiguration()), 0.03);
  }

  private static Target newTarget(int number) {
    return new Target(
        new InstanceId("t" + number),
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("z"),
        false,
        21,
        1,
        Optional.empty());
  }

  private TargetRating rate(int target, int promptTokens, int requests, OptionalDouble work) {
    TargetState state = new TargetState(requests, 21, requests, work, 0, 0, 1, 0, false);
    return costs
        .newRater(CostFixtures.newRequest("r", promptTokens, OptionalInt.of(100)), 0)
        .rate(newTarget(target), state);
  }

  private RequestRun start(int target, String route, int promptTokens, long nowNanos) {
    RequestRun run =
        costs.newRun(
            CostFixtures.newRequest(route, promptTokens, OptionalInt.of(60)),
            newTarget(target).id(),
            0);
    run.onStart(nowNanos);
    return run;
  }

  private double getWork(int target) {
    return costs.getOwnWorkMillis(newTarget(target).id()).orElseThrow();
  }

  @Test(dataProvider = "seeds")
  public void noWorkIsLeftAfterAllRunsEndedInAnyWay(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<RequestRun> open = new ArrayList<>();
    List<RequestRun> closed = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 20_000; i++) {
      now += random.nextInt(20) * MILLI;
      boolean isStarted = random.nextInt(10) > 0;
      if (open.size() < 200 && random.nextInt(3) == 0) {
        int tokens = random.nextInt(6000);
        RequestRun run =
            costs.newRun(
                CostFixtures.newRequest(
                    "r" + random.nextInt(9), tokens, OptionalInt.of(random.nextInt(900))),
                newTarget(random.nextInt(TARGETS)).id(),
                random.nextInt(4) == 0 ? random.nextInt(100_000) : 0);
        open.add(run);
        if (isStarted) {
          run.onStart(now);
        }
      } else if (!open.isEmpty()) {
        RequestRun run = open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
          case 0 -> {
            run.onEnd(random.nextBoolean(), now);
            open.remove(run);
            closed.add(run);
          }
          case 1 -> run.onStart(now);
          default -> run.onEvents(random.nextInt(300), now);
        }
      }
      if (!closed.isEmpty() && random.nextInt(4) == 0) {
        RequestRun late = closed.get(random.nextInt(closed.size()));
        late.onEvents(1000, now);
        late.onEnd(true, now);
        late.onStart(now);
      }
      if (random.nextInt(500) == 0) {
        costs.retain(Set.of(newTarget(0).id()));
        costs.reset(newTarget(1).id());
      }
      for (int t = 0; t < TARGETS; t++) {
        assertTrue(getWork(t) >= 0, "negative work");
      }
    }
    for (RequestRun run : open) {
      run.onEnd(false, now);
    }
    for (int t = 0; t < TARGETS; t++) {
      assertEquals(getWork(t), 0.0, "work left at target " + t);
    }
  }

  @Test
  public void workShrinksWithTheEventsOfAStream() {
    RequestRun run = start(0, "r", 2000, 0);
    double whole = getWork(0);
    run.onEvents(1, 50 * MILLI);
    double decoding = getWork(0);
    run.onEvents(8, 400 * MILLI);
    assertTrue(whole - decoding > 35, "the prompt was read: " + whole + ", " + decoding);
    assertTrue(getWork(0) < decoding / 2, "left: " + getWork(0) + " of " + decoding);
    run.onEvents(500, 9000 * MILLI);
    assertTrue(getWork(0) > decoding, "a stream that is far too long is expected to go on");
  }

  @Test
  public void aResumedStreamCountsWithItsRest() {
    start(0, "r", 100, 0);
    RequestRun resumed =
        costs.newRun(
            CostFixtures.newRequest("r", 100, OptionalInt.of(60)), newTarget(1).id(), 1_000_000);
    resumed.onStart(0);
    assertTrue(getWork(1) < getWork(0) / 2, getWork(1) + " of " + getWork(0));
    assertTrue(getWork(1) > 2, "the prompt is read again: " + getWork(1));
  }

  @Test
  public void longPromptsAtATargetMakeItDear() {
    start(0, "r", 40, 0);
    start(1, "r", 5880, 0);
    TargetRating small = rate(0, 100, 1, OptionalDouble.empty());
    TargetRating large = rate(1, 100, 1, OptionalDouble.empty());
    assertTrue(large.cost() > small.cost() + 100, small + ", " + large);
  }

  @Test
  public void workThatOthersTellCounts() {
    TargetRating light = rate(0, 100, 10, OptionalDouble.of(100));
    TargetRating heavy = rate(1, 100, 10, OptionalDouble.of(3000));
    assertTrue(heavy.cost() > light.cost() + 50, light + ", " + heavy);
  }

  @Test
  public void absurdSizesOfARequestChangeLittleForOthers() {
    TargetRating before = rate(0, 100, 0, OptionalDouble.empty());
    for (int i = 0; i < 50; i++) {
      start(0, "usual", 1400, 0).onEnd(false, 0);
    }
    costs
        .newRun(
            CostFixtures.newRequest("absurd", Integer.MAX_VALUE, OptionalInt.of(Integer.MAX_VALUE)),
            newTarget(1).id(),
            0)
        .onStart(0);
    TargetRating after = rate(0, 100, 0, OptionalDouble.empty());
    assertTrue(after.costOfRequest() < 2 * before.costOfRequest(), before + ", " + after);
    assertTrue(getWork(1) < 2e6, "more than fills the memory: " + getWork(1));
  }

  @Test
  public void waitingBehindFullSlotsIsDear() {
    TargetRating full = rate(0, 100, 23, OptionalDouble.of(2300));
    TargetRating free = rate(1, 100, 20, OptionalDouble.of(2000));
    assertTrue(full.cost() > free.cost() + 250, free + ", " + full);
  }

  @Test
  public void aSlowTargetIsUsedByWhatItCanDoAndRecovers() {
    long now = 0;
    for (int i = 0; i < 40; i++) {
      for (int t = 0; t < TARGETS; t++) {
        RequestRun run = start(t, "r", 500, now);
        run.onEvents(1, now + 50 * MILLI);
        run.onEvents(11, now + (50 + (t == 0 ? 2000 : 400)) * MILLI);
        run.onEnd(true, now + 3000 * MILLI);
      }
      now += 100 * MILLI;
    }
    TargetRating slow = rateAt(0, now + 3000 * MILLI);
    TargetRating sound = rateAt(1, now + 3000 * MILLI);
    double factor = slow.cost() / sound.cost();
    assertTrue(factor > 2.5 && factor < 6, "factor " + factor);
    double later = rateAt(0, now + 30_000 * MILLI).cost() / sound.cost();
    assertTrue(later < 1.5, "factor without samples for long: " + later);
  }

  @Test
  public void requestsOfPlainServicesCountByTheTimeOfTheirRoute() {
    costs = new ExpectedWorkCosts(Optional::empty, 0);
    for (int i = 0; i < 30; i++) {
      long start = i * 1000 * MILLI;
      rateAt(2, start);
      RequestRun slow = start(2, "slow", 0, start);
      slow.onEnd(true, start + 700 * MILLI);
      rateAt(2, start);
      RequestRun fast = start(2, "fast", 0, start);
      fast.onEnd(true, start + 30 * MILLI);
    }
    double expected = costs.getExpectedMillis(newTarget(2).id()).orElseThrow();
    assertTrue(expected > 0, "expected " + expected);
    start(0, "slow", 0, 0);
    start(1, "fast", 0, 0);
    assertTrue(getWork(0) > 15 * getWork(1), getWork(0) + ", " + getWork(1));
    assertTrue(rateAt(0, 0).cost() > rateAt(1, 0).cost(), "the slow request is dearer");
  }

  @Test
  public void plainServiceWithTheNameOfAModelHasNoEngine() {
    RequestDescriptor plain = RequestDescriptor.ofPool(CostFixtures.POOL, false);
    for (int i = 0; i < 100; i++) {
      RequestRun run = costs.newRun(plain, newTarget(0).id(), 0);
      run.onStart(0);
      run.onEnd(true, 7 * MILLI);
    }
    assertEquals(costs.getExpectedWorkMillis(plain), 7, 1);
  }

  @Test
  public void servicesThatTakeLessThanAMillisecondKeepTheirTime() {
    costs = new ExpectedWorkCosts(Optional::empty, 0);
    for (int i = 0; i < 3000; i++) {
      rateAt(0, i * MILLI);
      start(0, "r", 0, i * MILLI).onEnd(true, i * MILLI + MILLI / 2);
    }
    start(1, "r", 0, 0);
    assertEquals(getWork(1), 0.5, 0.1);
  }

  @Test
  public void timesAreLearnedThoughOtherRequestsAreRatedMeanwhile() {
    costs = new ExpectedWorkCosts(Optional::empty, 0);
    for (int i = 0; i < 300; i++) {
      long now = i * 2000 * MILLI;
      rateAt("fast", 0, now);
      start(0, "slow", 0, now).onEnd(true, now + 1000 * MILLI);
      rateAt("slow", 0, now);
      start(0, "fast", 0, now).onEnd(true, now + 10 * MILLI);
      start(1, "rated by no one", 0, now).onEnd(true, now + 50 * MILLI);
    }
    start(2, "slow", 0, 0);
    start(3, "fast", 0, 0);
    start(4, "rated by no one", 0, 0);
    assertEquals(getWork(2), 1000, 200);
    assertEquals(getWork(3), 10, 2);
    assertEquals(getWork(4), 50, 10);
  }

  private TargetRating rateAt(int target, long nowNanos) {
    return rateAt("r", target, nowNanos);
  }

  private TargetRating rateAt(String route, int target, long nowNanos) {
    TargetState state = new TargetState(0, 21, 0, OptionalDouble.empty(), 0, 0, 1, 0, false);
    return costs
        .newRater(CostFixtures.newRequest(route, 500, OptionalInt.of(60)), nowNanos)
        .rate(newTarget(target), state);
  }
}
