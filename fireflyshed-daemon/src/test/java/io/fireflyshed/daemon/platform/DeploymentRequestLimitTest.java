package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.registry.EntryRegistrar;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the requests of all entries of a deployment together against the limits of targets. */
public class DeploymentRequestLimitTest {

  private static final String POOL = "model";
  private static final int ZONES = 3;
  private static final int SLOTS = 18;

  /** The mean number of requests of all entries in a second for each target. */
  private static final double REQUESTS_PER_TARGET = 6;

  private static final double DEFAULT_LIMIT = 2;

  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS_PER_SECOND = 100;
  private static final int FIRST_REQUEST_STEP = 15 * STEPS_PER_SECOND;
  private static final int FIRST_LIMIT_STEP = 20 * STEPS_PER_SECOND;
  private static final int LAST_LIMIT_STEP = 45 * STEPS_PER_SECOND;
  private static final int STEPS = 50 * STEPS_PER_SECOND;

  /** The steps from the start of a request until its first event and until its end. */
  private static final int FIRST_EVENT_STEPS = 15;

  private static final int DURATION_STEPS = 60;

  /** The time from the first response with a limit until the limit must hold. */
  private static final int ADAPTATION_STEPS = 3 * STEPS_PER_SECOND;

  /** The time from a response with the limit until the requests of its entry count. */
  private static final int TELLING_STEPS = STEPS_PER_SECOND / 2;

  private static final int WINDOW_STEPS = 4 * STEPS_PER_SECOND;
  private static final double LIMIT_TOLERANCE = 1.5;
  private static final int EXTRA_REQUESTS = 5;

  /** A response of a target, or the end of a request, of one process of an entry. */
  private record Event(
      int step, Entry entry, TargetPlacer placer, InstanceId target, boolean isEnd) {}

  /** Counts what a limited target gets. */
  private final class Arrivals {
    private final int[] all = new int[STEPS];
    private final int[] fromToldEntries = new int[STEPS];
    private final Map<Entry, Integer> toldSteps = new HashMap<>();
    private int running;

    void add(Entry entry, int step) {
      all[step]++;
      if (step - toldSteps.getOrDefault(entry, STEPS) >= TELLING_STEPS) {
        fromToldEntries[step]++;
      }
    }

    /** Returns the first window with more requests than allowed, or an empty text. */
    String findViolation() {
      int count = 0;
      int firstStep = FIRST_LIMIT_STEP + FIRST_EVENT_STEPS + ADAPTATION_STEPS;
      for (int step = firstStep; step < LAST_LIMIT_STEP; step++) {
        count += fromToldEntries[step];
        int left = step - WINDOW_STEPS;
        count -= left >= firstStep ? fromToldEntries[left] : 0;
        double allowed =
            LIMIT_TOLERANCE * getLargestLimit(left) * WINDOW_STEPS / STEPS_PER_SECOND
                + EXTRA_REQUESTS;
        if (count > allowed) {
          return count + " requests, " + allowed + " allowed, in the window to step " + step;
        }
      }
      return "";
    }

    /** Returns the largest limit of a window and of the time to adapt before it. */
    private double getLargestLimit(int windowStart) {
      return Math.max(
          limit.applyAsDouble(windowStart - ADAPTATION_STEPS),
          limit.applyAsDouble(windowStart + WINDOW_STEPS));
    }

    /** Returns the requests for each one that the limit takes, while it is in force. */
    double getUsedFraction() {
      int count = 0;
      int firstStep = FIRST_LIMIT_STEP + FIRST_EVENT_STEPS + ADAPTATION_STEPS;
      for (int step = firstStep; step < LAST_LIMIT_STEP; step++) {
        count += all[step];
      }
      return count / (DEFAULT_LIMIT * (LAST_LIMIT_STEP - firstStep) / STEPS_PER_SECOND);
    }
  }

  /** One entry, whose process may be replaced. */
  private final class Entry {
    private final int number;
    private final AvailabilityZone zone;
    private final double weight;
    private ManualScheduler control;
    private TargetPlacer placer;

    Entry(int number, double weight) {
      this.number = number;
      this.zone = new AvailabilityZone("zone-" + number % ZONES);
      this.weight = weight;
      restart();
    }

    void restart() {
      long origin = random.nextLong(Duration.ofDays(10).toNanos());
      MonotonicClock entryClock = () -> clock.nanoTime() + origin;
      EntrySchedule schedule =
          new EntrySchedule(number % ZONES, ZONES, new SharedClock(entryClock));
      placer = new TargetPlacer(PlacementSettings.ofDefaults(), zone, random, schedule);
      control = new ManualScheduler(clock);
      new EntryRegistrar(
              table,
              () -> CompletableFuture.completedFuture(Duration.ofNanos(clock.nanoTime())),
              zone,
              "entry-" + number,
              new RetryAllowance(0, ZONES, Duration.ZERO, EntryRegistrar.MAX_COUNT_AGE),
              schedule,
              control,
              entryClock,
              random)
          .start();
      arrivals.values().forEach(a -> a.toldSteps.remove(this));
    }

    Placement place(long nowNanos) {
      return placer.place(RequestDescriptor.ofPool(POOL, true), targets, Set.of(), nowNanos);
    }
  }

  private UniformRandomProvider random;
  private ManualClock clock;
  private InMemoryTableService table;
  private List<Target> targets;
  private Set<InstanceId> limitedTargets;
  private Map<InstanceId, Arrivals> arrivals;
  private PriorityQueue<Event> events;
  private List<Duration> refusals;
  private Set<Integer> restartSteps;
  private List<Integer> tableDownSteps;
  private List<Integer> cutSteps;
  private IntToDoubleFunction limit;
  private int doublingStep;

  /** Sets up a deployment without restarts, outages or new entries. */
  @BeforeMethod
  public void setUp() {
    restartSteps = Set.of();
    tableDownSteps = List.of(STEPS, STEPS);
    cutSteps = List.of(STEPS, STEPS);
    limit = step -> DEFAULT_LIMIT;
    doublingStep = STEPS;
  }

  /** Provides numbers of entries, from a small deployment to several zones of many entries. */
  @DataProvider
  public Object[][] entryCounts() {
    return new Object[][] {{7}, {9}, {59}, {68}, {300}};
  }

  /**
   * Plays a deployment in which some targets limit their requests for a while.
   *
   * @param entryCount the number of entries
   * @param limitedFraction the fraction of the targets that limit their requests
   */
  void play(int entryCount, double limitedFraction) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(entryCount);
    clock = new ManualClock();
    table = new InMemoryTableService();
    targets = new ArrayList<>();
    limitedTargets = new HashSet<>();
    arrivals = new HashMap<>();
    events = new PriorityQueue<>(Comparator.comparingInt(Event::step));
    refusals = new ArrayList<>();
    int targetCount = Math.max(12, entryCount / 3);
    for (int i = 0; i < targetCount; i++) {
      addTarget(i, i < limitedFraction * targetCount);
    }
    List<Entry> entries = new ArrayList<>();
    addEntries(entries, entryCount);
    for (int step = 0; step < STEPS; step++) {
      clock.advance(STEP);
      boolean isTableDown = step >= tableDownSteps.get(0) && step < tableDownSteps.get(1);
      table.setFault(isTableDown ? StoreFault.DOWN : StoreFault.NONE);
      if (step == doublingStep) {
        addEntries(entries, entryCount);
      }
      playStep(entries, step);
    }
  }

  private void addEntries(List<Entry> entries, int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(entries.size(), 0.5 + random.nextDouble()));
    }
  }

  private void addTarget(int number, boolean isLimited) {
    InstanceId id = new InstanceId("t" + number);
    targets.add(
        new Target(
            id,
            new ServiceName("cards"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            new AvailabilityZone("zone-" + number % ZONES),
            false,
            SLOTS,
            1,
            Optional.empty()));
    arrivals.put(id, new Arrivals());
    if (isLimited) {
      limitedTargets.add(id);
    }
  }

  private void playStep(List<Entry> entries, int step) {
    while (!events.isEmpty() && events.peek().step() <= step) {
      playEvent(events.poll(), step);
    }
    for (Entry entry : entries) {
      if (restartSteps.contains(step) && random.nextInt(3) > 0) {
        entry.restart();
      }
      boolean isCutOff = entry.number % 3 == 0 && step >= cutSteps.get(0) && step < cutSteps.get(1);
      if (!isCutOff) {
        entry.control.runDue();
      }
      if (step >= FIRST_REQUEST_STEP) {
        playRequests(entry, entries.size(), step);
      }
    }
  }

  private void playRequests(Entry entry, int entryCount, int step) {
    double rate = REQUESTS_PER_TARGET * targets.size() * entry.weight / entryCount;
    double expected = rate / STEPS_PER_SECOND;
    int requests = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < requests; i++) {
      Placement placement = entry.place(clock.nanoTime());
      if (placement instanceof Placement.Refuse refusal) {
        refusals.add(refusal.retryAfter());
      } else {
        send(entry, ((Placement.Send) placement).target().id(), step);
      }
    }
  }

  private void send(Entry entry, InstanceId target, int step) {
    entry.placer.onStart(target);
    Arrivals targetArrivals = arrivals.get(target);
    targetArrivals.add(entry, step);
    targetArrivals.running++;
    events.add(new Event(step + FIRST_EVENT_STEPS, entry, entry.placer, target, false));
    events.add(new Event(step + DURATION_STEPS, entry, entry.placer, target, true));
  }

  private void playEvent(Event event, int step) {
    Arrivals targetArrivals = arrivals.get(event.target());
    TargetPlacer placer = event.placer();
    if (event.isEnd()) {
      targetArrivals.running--;
      placer.onEnd(POOL, event.target(), clock.nanoTime());
      return;
    }
    placer.onLoad(event.target(), targetArrivals.running, SLOTS, 0);
    boolean isLimited =
        limitedTargets.contains(event.target())
            && step >= FIRST_LIMIT_STEP
            && step < LAST_LIMIT_STEP;
    placer.onRequestLimit(
        event.target(),
        isLimited ? OptionalDouble.of(limit.applyAsDouble(step)) : OptionalDouble.empty());
    if (isLimited && placer == event.entry().placer) {
      targetArrivals.toldSteps.putIfAbsent(event.entry(), step);
    }
  }

  /** Changes the limit of the targets while it is in force. */
  void setLimits(double first, double second, int changeSecond) {
    limit = step -> step < changeSecond * STEPS_PER_SECOND ? first : second;
  }

  void assertWithinLimits() {
    for (InstanceId target : limitedTargets) {
      String violation = arrivals.get(target).findViolation();
      assertTrue(violation.isEmpty(), target + ": " + violation);
    }
  }

  @Test(dataProvider = "entryCounts")
  public void requestsOfAllEntriesTogetherStayWithinTheLimitOfATarget(int entryCount) {
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void requestsStayWithinTheLimitsIfAllTargetsHaveOne(int entryCount) {
    play(entryCount, 1);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void restartedEntriesStayWithinTheLimits(int entryCount) {
    restartSteps = Set.of(26 * STEPS_PER_SECOND, 32 * STEPS_PER_SECOND);
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatJoinTakeTheirTurns(int entryCount) {
    doublingStep = 25 * STEPS_PER_SECOND;
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void limitsHoldWhileTheTableServiceIsDown(int entryCount) {
    tableDownSteps = List.of(18 * STEPS_PER_SECOND, 40 * STEPS_PER_SECOND);
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void limitsHoldWhileSomeEntriesAreCutOffFromTheTableService(int entryCount) {
    cutSteps = List.of(18 * STEPS_PER_SECOND, 40 * STEPS_PER_SECOND);
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void requestsStayWithinALimitThatRises(int entryCount) {
    setLimits(1, 3, 30);
    play(entryCount, 0.5);
    assertWithinLimits();
  }

  @Test(dataProvider = "entryCounts")
  public void mostOfWhatTheLimitsAdmitIsUsed(int entryCount) {
    play(entryCount, 1);
    double used =
        arrivals.values().stream().mapToDouble(Arrivals::getUsedFraction).average().orElseThrow();
    assertTrue(used > 0.7, "used fraction " + used);
  }

  @Test(dataProvider = "entryCounts")
  public void requestsThatNoLimitAdmitsAreToldWhenToComeBack(int entryCount) {
    play(entryCount, 1);
    assertTrue(refusals.stream().allMatch(r -> r.toMillis() >= 150 && r.toMillis() <= 1600));
  }
}
