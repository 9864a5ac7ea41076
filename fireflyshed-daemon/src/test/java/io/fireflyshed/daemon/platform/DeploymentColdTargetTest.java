package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.evacuation.EvacuatedZones;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.coordination.warmup.ColdBounds;
import io.fireflyshed.coordination.warmup.ColdTargets;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.table.RowKey;
import io.fireflyshed.state.table.Transaction;
import io.fireflyshed.state.table.Write;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.target.TargetChanges;
import io.fireflyshed.state.traffic.ColdStartProfile;
import io.fireflyshed.transport.registry.EntryRegistrar;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Counts what cold targets get from all entries of a deployment in any second. */
public class DeploymentColdTargetTest {

  private static final String POOL = "model";
  private static final int ZONES = 3;
  private static final int SLOTS = 200;
  private static final ColdStartProfile PROFILE = new ColdStartProfile(Duration.ofSeconds(3), 26);
  private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);

  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS_PER_SECOND = 100;
  private static final int STEPS = 45 * STEPS_PER_SECOND;

  /** The entries start some time before the first request of a caller. */
  private static final int FIRST_REQUEST_STEP = 19 * STEPS_PER_SECOND;

  private static final int COLD_STEP = 24 * STEPS_PER_SECOND;
  private static final int COLD_STEPS = 12 * STEPS_PER_SECOND;
  private static final int HEARTBEAT_STEPS = 120;
  private static final int READ_STEPS = 40;
  private static final int MAX_LAG_STEPS = 2 * STEPS_PER_SECOND;
  private static final int DURATION_STEPS = 30;

  /** The requests of all entries in a second for each target, above the bound. */
  private static final double MANY_REQUESTS = 45;

  /** The least requests of an entry in a second, so that it has some at most of its turns. */
  private static final double REQUESTS_PER_ENTRY = 7;

  /** The same if requests of entries that don't know of a cold target are within the bound. */
  private static final double FEW_REQUESTS = 15;

  /** The requests of a burst in a second for each target, within the bound if spread evenly. */
  private static final double BURST_REQUESTS = 30;

  private static final long MAX_SKEW_MILLIS = 40;

  /** A target, which is listed and cold at times. */
  private final class PlayedTarget {
    private final Target target;
    private final int[] arrivals = new int[STEPS];

    /** The arrivals that used a turn. */
    private final int[] turns = new int[STEPS];

    private int running;
    private int coldStep = STEPS;
    private int awayStep = STEPS;
    private int darkStep = STEPS;

    PlayedTarget(int number) {
      target =
          new Target(
              new InstanceId("t" + number),
              new ServiceName("cards"),
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              new AvailabilityZone("zone-" + number % ZONES),
              false,
              SLOTS,
              1,
              Optional.empty());
    }

    /** Tests whether the target can't be reached, which its registration doesn't show. */
    boolean isDark(int step) {
      return step >= darkStep && step < coldStep;
    }

    boolean isListed(int step) {
      return step < awayStep || step >= coldStep;
    }

    /** Returns the time for which the target stays cold according to its last heartbeat. */
    Duration getListedColdTime(int step) {
      int sinceHeartbeat = Math.floorMod(step + target.hashCode(), HEARTBEAT_STEPS);
      boolean isAnnounced = awayStep < STEPS && step - sinceHeartbeat < coldStep;
      return getColdTime(isAnnounced ? Math.max(step, coldStep) : step - sinceHeartbeat);
    }

    Duration getColdTime(int step) {
      boolean isCold = step >= coldStep && step < coldStep + COLD_STEPS;
      return isCold ? STEP.multipliedBy(coldStep + COLD_STEPS - step) : Duration.ZERO;
    }

    /** Returns the most requests of a second of a time. */
    int getMaxOfSecond(int[] counts, int firstStep, int endStep) {
      int max = 0;
      int sum = 0;
      for (int step = firstStep; step < endStep; step++) {
        sum += counts[step];
        sum -= step - STEPS_PER_SECOND >= firstStep ? counts[step - STEPS_PER_SECOND] : 0;
        max = Math.max(max, sum);
      }
      return max;
    }
  }

  /** One entry, whose process may be replaced. */
  private final class Entry {
    private final int number;
    private final AvailabilityZone zone;
    private final Duration skew =
        Duration.ofMillis(random.nextLong(2 * MAX_SKEW_MILLIS) - MAX_SKEW_MILLIS);
    private final Map<Integer, List<InstanceId>> ends = new HashMap<>();
    private ManualScheduler control;
    private TargetPlacer placer;
    private ColdTargets cold;
    private List<Target> listed;
    private Map<InstanceId, Boolean> listedCold;
    private int lagSteps;

    Entry(int number) {
      this.number = number;
      this.zone = new AvailabilityZone("zone-" + number % ZONES);
      restart();
    }

    void restart() {
      long origin = random.nextLong(Duration.ofDays(10).toNanos());
      MonotonicClock entryClock = () -> clock.nanoTime() + origin;
      cold = new ColdTargets(BOUNDS, service -> profile, new EvacuatedZones(), entryClock);
      EntrySchedule schedule =
          new EntrySchedule(number % ZONES, ZONES, new SharedClock(entryClock), cold);
      placer = new TargetPlacer(PlacementSettings.ofDefaults(), zone, random, schedule);
      control = new ManualScheduler(clock);
      listed = List.of();
      listedCold = new HashMap<>();
      lagSteps = random.nextInt(MAX_LAG_STEPS);
      ends.clear();
      new EntryRegistrar(
              table,
              () ->
                  CompletableFuture.completedFuture(Duration.ofNanos(clock.nanoTime()).plus(skew)),
              zone,
              "entry-" + number,
              new RetryAllowance(0, ZONES, Duration.ZERO, EntryRegistrar.MAX_COUNT_AGE),
              schedule,
              control,
              entryClock,
              random)
          .start();
    }

    /** Tests whether the entry loses the table in a play in which some do. */
    private boolean isUnlisted() {
      return number / ZONES % 2 == 0;
    }

    private void unlist() {
      RowKey key = new RowKey(EntryRegistrar.TABLE, zone + "/entry-" + number);
      table.commit(new Transaction(List.of(), List.of(Write.ofDelete(key)))).join();
    }

    /** Reads the registry as it was some time ago; rows whose digest didn't change aren't told. */
    void read(int step) {
      int seenStep = Math.max(0, step - lagSteps);
      List<Target> updated = new ArrayList<>();
      Set<InstanceId> removed = new HashSet<>();
      Map<InstanceId, Duration> coldTimes = new HashMap<>();
      for (PlayedTarget played : targets) {
        InstanceId id = played.target.id();
        Duration time = played.getListedColdTime(seenStep);
        if (!played.isListed(seenStep)) {
          listedCold.remove(id);
          removed.add(id);
        } else if (!Boolean.valueOf(!time.isZero()).equals(listedCold.put(id, !time.isZero()))) {
          updated.add(played.target);
          coldTimes.put(id, time);
        }
      }
      cold.apply(new TargetChanges(step, false, updated, removed, coldTimes));
      listed = targets.stream().filter(t -> t.isListed(seenStep)).map(t -> t.target).toList();
    }

    void playRequests(int step) {
      for (InstanceId ended : ends.getOrDefault(step, List.of())) {
        placer.onLoad(ended, getPlayed(ended).running--, SLOTS, clock.nanoTime());
        placer.onEnd(POOL, ended, clock.nanoTime());
      }
      ends.remove(step);
      double expected =
          requestsPerTarget * targets.size() / (entries.size() * (double) STEPS_PER_SECOND);
      int requests = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < requests; i++) {
        RequestDescriptor request = RequestDescriptor.ofPool(POOL, true);
        Placement placement = placer.place(request, listed, Set.of(), clock.nanoTime());
        decisions = 31 * decisions + placement.hashCode();
        if (placement instanceof Placement.Send send) {
          send(step, send.target());
        }
      }
    }

    private void send(int step, Target target) {
      PlayedTarget played = getPlayed(target.id());
      if (played.isDark(step)) {
        placer.onUnreachable(target.id(), clock.nanoTime());
        return;
      }
      boolean isInTurn = cold.get(target).isPresent();
      if (isHealthChecked && !isInTurn) {
        cold.onReported(target.id(), played.getColdTime(step));
      }
      played.arrivals[step]++;
      played.turns[step] += isInTurn ? 1 : 0;
      played.running++;
      placer.onStart(target.id());
      ends.computeIfAbsent(step + DURATION_STEPS, s -> new ArrayList<>()).add(target.id());
    }
  }

  private UniformRandomProvider random;
  private ManualClock clock;
  private InMemoryTableService table;
  private List<PlayedTarget> targets;
  private List<Entry> entries;
  private Optional<ColdStartProfile> profile;
  private Set<Integer> restartSteps;
  private int joinStep;
  private int downStep;

  /** The step from which on part of the entries have no contact to the table, and no rows. */
  private int unlistedStep;

  private boolean isHealthChecked;
  private OptionalDouble limit;
  private double requestsPerTarget;
  private int decisions;

  /** Sets up a deployment without restarts, outages or new entries. */
  @BeforeMethod
  public void setUp() {
    clock = new ManualClock();
    table = new InMemoryTableService();
    targets = new ArrayList<>();
    entries = new ArrayList<>();
    profile = Optional.of(PROFILE);
    restartSteps = Set.of();
    joinStep = STEPS;
    downStep = STEPS;
    unlistedStep = STEPS;
    isHealthChecked = false;
    limit = OptionalDouble.empty();
    requestsPerTarget = MANY_REQUESTS;
    decisions = 0;
  }

  /** Provides numbers of entries, from a small deployment to several zones of many entries. */
  @DataProvider
  public Object[][] entryCounts() {
    return new Object[][] {{9}, {87}, {300}};
  }

  private void newTargets(int seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < 12; i++) {
      targets.add(new PlayedTarget(i));
    }
  }

  private PlayedTarget getPlayed(InstanceId target) {
    return targets.get(Integer.parseInt(target.value().substring(1)));
  }

  /** Lets all targets of a zone go away and come back cold together. */
  private void returnZone() {
    targets.stream()
        .filter(t -> t.target.zone().value().equals("zone-0"))
        .forEach(
            t -> {
              t.awayStep = COLD_STEP - 4 * STEPS_PER_SECOND;
              t.coldStep = COLD_STEP;
            });
  }

  private void play(int entryCount) {
    if (requestsPerTarget == MANY_REQUESTS) {
      requestsPerTarget = Math.max(MANY_REQUESTS, REQUESTS_PER_ENTRY * entryCount / targets.size());
    }
    addEntries(entryCount);
    for (int step = 0; step < STEPS; step++) {
      clock.advance(STEP);
      table.setFault(step >= downStep ? StoreFault.DOWN : StoreFault.NONE);
      if (step == joinStep) {
        addEntries(entryCount);
      }
      for (Entry entry : entries) {
        if (restartSteps.contains(step) && random.nextInt(3) == 0) {
          entry.restart();
        }
        if (step == unlistedStep && entry.isUnlisted()) {
          entry.unlist();
        }
        if (step < unlistedStep || !entry.isUnlisted()) {
          entry.control.runDue();
        }
        if (step < downStep && (step + entry.number) % READ_STEPS == 0) {
          entry.read(step);
        }
        if (limit.isPresent() && step == FIRST_REQUEST_STEP) {
          targets.forEach(t -> entry.placer.onRequestLimit(t.target.id(), limit));
        }
        if (step >= FIRST_REQUEST_STEP) {
          entry.playRequests(step);
        }
      }
    }
  }

  private void addEntries(int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(entries.size()));
    }
  }

  /** Checks all requests from the moment on at which all entries know of the cold targets. */
  private void assertWithinBound(int delaySteps) {
    long bound = BOUNDS.getMaxRequests(PROFILE);
    for (PlayedTarget played : targets) {
      int end = Math.min(STEPS, played.coldStep + COLD_STEPS);
      int first = Math.min(end, played.coldStep + delaySteps);
      int all = played.getMaxOfSecond(played.arrivals, first, end);
      int turns = played.getMaxOfSecond(played.turns, 0, STEPS);
      assertTrue(
          all <= bound, played.target.id() + ": " + all + " requests, " + bound + " allowed");
      assertTrue(turns <= bound, played.target.id() + ": " + turns + " turns");
    }
  }

  private double getMeanRate(int firstSecond, int endSecond) {
    return targets.stream()
            .filter(t -> t.coldStep < STEPS)
            .mapToInt(
                t -> {
                  int sum = 0;
                  for (int s = firstSecond * STEPS_PER_SECOND;
                      s < endSecond * STEPS_PER_SECOND;
                      s++) {
                    sum += t.arrivals[s];
                  }
                  return sum;
                })
            .average()
            .orElse(0)
        / (endSecond - firstSecond);
  }

  @Test(dataProvider = "entryCounts")
  public void zoneThatComesBackColdGetsItsRateAndThenItsShare(int entryCount) {
    newTargets(entryCount);
    returnZone();
    play(entryCount);
    assertWithinBound(0);
    double cold = getMeanRate(28, 35);
    assertTrue(cold > 10, "requests per second while cold: " + cold);
    double warm = getMeanRate(41, 45);
    assertTrue(warm > 35, "requests per second once warm: " + warm);
  }

  @Test(dataProvider = "entryCounts")
  public void targetsThatBecomeColdAtAnyMomentGetTheirRateOnceTheyAreKnown(int entryCount) {
    newTargets(entryCount);
    targets.forEach(t -> t.coldStep = COLD_STEP + random.nextInt(4 * STEPS_PER_SECOND));
    play(entryCount);
    assertWithinBound(HEARTBEAT_STEPS + READ_STEPS + MAX_LAG_STEPS);
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatRestartKeepTheRate(int entryCount) {
    newTargets(entryCount);
    returnZone();
    restartSteps = Set.of(COLD_STEP - 300, COLD_STEP - 50, COLD_STEP + 200, COLD_STEP + 500);
    play(entryCount);
    assertWithinBound(0);
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatTheOthersNoLongerSeeKeepTheRateWithThem(int entryCount) {
    newTargets(entryCount);
    returnZone();
    unlistedStep = 4 * STEPS_PER_SECOND;
    play(entryCount);
    assertWithinBound(0);
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatJoinKeepTheRate(int entryCount) {
    newTargets(entryCount);
    returnZone();
    joinStep = COLD_STEP - 6 * STEPS_PER_SECOND;
    play(entryCount);
    assertWithinBound(0);
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatLearnOfAColdTargetByHealthChecksKeepTheRate(int entryCount) {
    newTargets(entryCount);
    targets.forEach(t -> t.coldStep = COLD_STEP);
    downStep = COLD_STEP - STEPS_PER_SECOND;
    isHealthChecked = true;
    requestsPerTarget = FEW_REQUESTS;
    play(entryCount);
    assertWithinBound(0);
  }

  private void playRestartThatTheRegistrationShowsLate(int entryCount) {
    newTargets(entryCount);
    targets.stream()
        .filter(t -> t.target.zone().value().equals("zone-0"))
        .forEach(
            t -> {
              t.darkStep = COLD_STEP - MAX_LAG_STEPS;
              t.coldStep = COLD_STEP;
            });
    play(entryCount);
    assertWithinBound(0);
  }

  @Test(dataProvider = "entryCounts")
  public void targetsThatRestartBeforeTheirRegistrationShowsItKeepTheRate(int entryCount) {
    requestsPerTarget = FEW_REQUESTS;
    playRestartThatTheRegistrationShowsLate(entryCount);
  }

  /** Fails if targets that weren't reached don't count as cold. */
  @Test
  public void targetsThatRestartUnseenKeepTheRateInABurst() {
    requestsPerTarget = BURST_REQUESTS;
    playRestartThatTheRegistrationShowsLate(87);
  }

  @Test
  public void lowerLimitOfAColdTargetBinds() {
    newTargets(9);
    returnZone();
    limit = OptionalDouble.of(4);
    play(9);
    for (PlayedTarget played : targets) {
      int max = played.getMaxOfSecond(played.arrivals, COLD_STEP, COLD_STEP + COLD_STEPS);
      assertTrue(max <= 4 * 2 + 1, played.target.id() + ": " + max);
    }
  }

  @Test
  public void coldTargetsOfServicesWithoutARateAreUsedAsBefore() {
    profile = Optional.empty();
    newTargets(9);
    targets.forEach(t -> t.coldStep = COLD_STEP);
    play(9);
    final int withColdTargets = decisions;
    setUp();
    profile = Optional.empty();
    newTargets(9);
    play(9);
    assertEquals(decisions, withColdTargets);
  }
}
