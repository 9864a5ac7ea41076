package io.fireflyshed.coordination.placement;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the default settings decide as before there was another basis than requests. */
public class PlacementBasisTest {

  private static final int STEPS = 20_000;
  private static final int TARGETS = 12;

  private ManualClock clock;
  private UniformRandomProvider random;
  private TargetPlacer placer;
  private List<Target> targets;
  private List<Target> running;
  private int digest;

  /** Provides seeds and the digests of the decisions as commit 80dedc4 took them. */
  @DataProvider
  public static Object[][] decisions() {
    return new Object[][] {{1L, -1488720444}, {2L, 12803688}, {3L, -1705729647}, {4L, 1629888583}};
  }

  /** Forgets the last run. */
  @BeforeMethod
  public void reset() {
    clock = new ManualClock();
    targets = new ArrayList<>();
    running = new ArrayList<>();
    digest = 0;
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new Target(
              new InstanceId("t" + i),
              new ServiceName("s"),
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              new AvailabilityZone("z" + i % 3),
              false,
              3 + i % 4,
              1,
              Optional.empty()));
    }
  }

  @Test(dataProvider = "decisions")
  public void decisionsAreAsBeforeByDefault(long seed, int expected) {
    assertEquals(run(seed), expected);
  }

  /** Makes random calls and returns a digest of all decisions. */
  int run(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    placer =
        new TargetPlacer(
            PlacementSettings.ofDefaults(),
            new AvailabilityZone("z0"),
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1),
            new EntrySchedule(0, 1, new SharedClock(clock)));
    for (int i = 0; i < STEPS; i++) {
      clock.advance(Duration.ofMillis(random.nextInt(40)));
      if (i % 2 == 0) {
        place();
      } else {
        disturb(pick(), clock.nanoTime());
      }
    }
    return digest;
  }

  private Target pick() {
    return targets.get(random.nextInt(TARGETS));
  }

  private void place() {
    long now = clock.nanoTime();
    RequestDescriptor request = RequestDescriptor.ofPool("p", random.nextBoolean());
    Set<InstanceId> excluded = Set.of(pick().id());
    Placement placement =
        random.nextInt(8) == 0
            ? placer.placeRunning(request, targets, excluded, now)
            : placer.place(request, targets, excluded, now);
    if (placement instanceof Placement.Send send) {
      digest = 31 * digest + send.target().id().hashCode();
      placer.onStart(send.target().id());
      running.add(send.target());
    } else if (placement instanceof Placement.Refuse refuse) {
      digest = 31 * digest + refuse.cause().ordinal() + refuse.retryAfter().hashCode();
    }
    placer
        .takeOwnLoad(Set.of(), Set.of(), now)
        .loads()
        .values()
        .forEach(load -> digest += load.inFlight() * 7 + (int) load.startsPerSecond());
  }

  private void disturb(Target target, long now) {
    InstanceId id = target.id();
    switch (random.nextInt(14)) {
      case 0 -> placer.onLoad(id, random.nextInt(12), 4, now);
      case 1 -> placer.onProgress(id, Duration.ofMillis(20 + random.nextInt(300)));
      case 2 -> placer.onResult(id, random.nextBoolean(), now);
      case 3 -> placer.onSilent(id, now);
      case 4 -> placer.onUnreachable(id, now);
      case 5 ->
          placer.onRequestLimit(
              id, random.nextBoolean() ? OptionalDouble.of(5) : OptionalDouble.empty());
      case 6 -> placer.reset(id);
      case 7, 8 -> tellFleet(now);
      default -> {
        if (!running.isEmpty()) {
          Target ended = running.remove(random.nextInt(running.size()));
          placer.onEnd("p", ended.id(), now);
        }
      }
    }
  }

  private void tellFleet(long now) {
    Map<InstanceId, FleetLoad.TargetRequests> loads = new HashMap<>();
    for (Target target : targets) {
      loads.put(
          target.id(), new FleetLoad.TargetRequests(random.nextInt(8), random.nextInt(20), 0, 1));
    }
    placer.onFleetLoad(new FleetLoad(loads, 3), FleetLoad.NONE, now - random.nextInt(500_000_000));
  }
}
