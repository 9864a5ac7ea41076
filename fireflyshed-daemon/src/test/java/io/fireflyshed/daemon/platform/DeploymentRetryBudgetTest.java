package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.PlacementBasis;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.platform.PlatformSettings;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.standins.platform.StoreFault;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.ManualScheduler;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.registry.EntryRegistrar;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the retries of all entries of a deployment together against its retry budget. */
public class DeploymentRetryBudgetTest {

  private static final ServiceName MODEL_SERVICE = new ServiceName("cards");
  private static final ServiceName PLAIN_SERVICE = new ServiceName("desk");

  /** The mean number of requests that an entry receives in a second, by service. */
  private static final Map<ServiceName, Double> REQUEST_RATES =
      Map.of(MODEL_SERVICE, 11.0, PLAIN_SERVICE, 1.2);

  private static final double RETRY_RATIO = 0.2;
  private static final int RETRY_SLACK = 136;
  private static final int MAX_RETRIES_PER_REQUEST = 2;
  private static final int ZONES = 3;

  private static final Duration STEP = Duration.ofMillis(100);
  private static final int STEPS_PER_WINDOW = 100;

  /** The entries start some time before the first request of a caller. */
  private static final int FIRST_REQUEST_STEP = 150;

  private static final int STEPS = FIRST_REQUEST_STEP + 600;

  private static final PlatformSettings SETTINGS =
      new PlatformSettings(
          "entry-1",
          new AvailabilityZone("a"),
          0,
          ZONES,
          true,
          newAddress(),
          newAddress(),
          newAddress(),
          Optional.empty(),
          newAddress(),
          Duration.ofSeconds(5),
          Duration.ofSeconds(8),
          RETRY_RATIO,
          RETRY_SLACK,
          Duration.ofSeconds(10),
          Duration.ofSeconds(5),
          1,
          0,
          1,
          OptionalLong.empty(),
          false,
          PlacementBasis.REQUESTS);

  /** Counts the requests for a service and the retries at it in each step. */
  private static final class Counts {
    private final int[] requests = new int[STEPS];
    private final int[] retries = new int[STEPS];

    private static int sum(int[] values, int endStep) {
      int sum = 0;
      for (int i = Math.max(0, endStep - STEPS_PER_WINDOW); i < endStep; i++) {
        sum += values[i];
      }
      return sum;
    }

    /** Returns the fraction of the allowed retries that the last window has. */
    double getUsedFraction() {
      return sum(retries, STEPS) / (RETRY_RATIO * sum(requests, STEPS) + RETRY_SLACK);
    }

    /** Returns the first window with more retries than allowed, or an empty text. */
    String findViolation() {
      for (int end = 1; end <= STEPS; end++) {
        int requestCount = sum(requests, end);
        requestCount = Math.max(requestCount, sum(requests, end - STEPS_PER_WINDOW / 2));
        requestCount = Math.max(requestCount, sum(requests, end - STEPS_PER_WINDOW));
        int retryCount = sum(retries, end);
        double allowed = RETRY_RATIO * requestCount + RETRY_SLACK;
        if (retryCount > allowed) {
          return retryCount + " retries, " + allowed + " allowed, in the window to step " + end;
        }
      }
      return "";
    }
  }

  /** One entry, whose process may be replaced. */
  private final class Entry {
    private final String name;
    private final AvailabilityZone zone;
    private final double weight;
    private ManualScheduler control;
    private ServiceRetryBudgets budgets;

    Entry(int number, double weight) {
      this.name = "entry-" + number;
      this.zone = new AvailabilityZone("zone-" + number % ZONES);
      this.weight = weight;
      restart();
    }

    void restart() {
      RetryAllowance allowance = PlatformEntry.newRetryAllowance(SETTINGS);
      budgets = PlatformEntry.newRetryBudgets(SETTINGS, () -> allowance.get(clock.nanoTime()));
      control = new ManualScheduler(clock);
      EntrySchedule schedule = new EntrySchedule(0, ZONES, new SharedClock(clock));
      new EntryRegistrar(
              table,
              () -> CompletableFuture.completedFuture(Duration.ofNanos(clock.nanoTime())),
              zone,
              name,
              allowance,
              schedule,
              control,
              clock,
              random)
          .start();
    }

    void onRequest(ServiceName service) {
      budgets.onRequest(service, clock.nanoTime());
    }

    boolean tryRetry(ServiceName service) {
      return budgets.tryRetry(service, Outcome.UNKNOWN, clock.nanoTime());
    }
  }

  private ManualClock clock;
  private InMemoryTableService table;
  private UniformRandomProvider random;
  private List<Integer> tableDownSteps;
  private int doublingStep;

  /** Sets up a table service without outages and a constant number of entries. */
  @BeforeMethod
  public void setUp() {
    tableDownSteps = List.of(STEPS, STEPS);
    doublingStep = STEPS;
  }

  private static InetSocketAddress newAddress() {
    return InetSocketAddress.createUnresolved("127.0.0.1", 1);
  }

  /** Provides numbers of entries, from a small deployment to several zones of many entries. */
  @DataProvider
  public Object[][] entryCounts() {
    return new Object[][] {{7}, {9}, {59}, {300}};
  }

  /**
   * Plays a deployment in which all attempts at some services fail.
   *
   * @param entryCount the number of entries
   * @param failingServices the services whose targets fail
   * @param restartSteps the steps at which most of the processes are replaced
   * @return the counts by service
   */
  private Map<ServiceName, Counts> play(
      int entryCount, Set<ServiceName> failingServices, Set<Integer> restartSteps) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(entryCount);
    clock = new ManualClock();
    table = new InMemoryTableService();
    List<Entry> entries = new ArrayList<>();
    addEntries(entries, entryCount);
    Map<ServiceName, Counts> counts = new HashMap<>();
    REQUEST_RATES.keySet().forEach(s -> counts.put(s, new Counts()));
    for (int step = 0; step < STEPS; step++) {
      clock.advance(STEP);
      if (step == doublingStep) {
        addEntries(entries, entryCount);
      }
      boolean isTableDown = step >= tableDownSteps.get(0) && step < tableDownSteps.get(1);
      table.setFault(isTableDown ? StoreFault.DOWN : StoreFault.NONE);
      for (Entry entry : entries) {
        if (restartSteps.contains(step) && random.nextInt(5) > 0) {
          entry.restart();
        }
        entry.control.runDue();
        if (step >= FIRST_REQUEST_STEP) {
          playStep(entry, step, failingServices, counts);
        }
      }
    }
    return counts;
  }

  private void addEntries(List<Entry> entries, int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(entries.size(), random.nextDouble() * 2));
    }
  }

  private void playStep(
      Entry entry, int step, Set<ServiceName> failingServices, Map<ServiceName, Counts> counts) {
    for (ServiceName service : REQUEST_RATES.keySet()) {
      double expected = REQUEST_RATES.get(service) * entry.weight * STEP.toMillis() / 1000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        entry.onRequest(service);
        counts.get(service).requests[step]++;
        int retries = 0;
        while (failingServices.contains(service)
            && retries < MAX_RETRIES_PER_REQUEST
            && entry.tryRetry(service)) {
          retries++;
        }
        counts.get(service).retries[step] += retries;
      }
    }
  }

  private static void assertWithinBudget(Map<ServiceName, Counts> counts) {
    counts.forEach((s, c) -> assertTrue(c.findViolation().isEmpty(), s + ": " + c.findViolation()));
  }

  @Test(dataProvider = "entryCounts")
  public void retriesOfAllEntriesTogetherStayWithinTheBudgetOfTheDeployment(int entryCount) {
    assertWithinBudget(play(entryCount, REQUEST_RATES.keySet(), Set.of()));
  }

  @Test(dataProvider = "entryCounts")
  public void retriesAtOneServiceUseNoBudgetOfAnother(int entryCount) {
    assertWithinBudget(play(entryCount, Set.of(PLAIN_SERVICE), Set.of()));
  }

  @Test(dataProvider = "entryCounts")
  public void restartedEntriesDoNotRenewTheBudget(int entryCount) {
    assertWithinBudget(play(entryCount, REQUEST_RATES.keySet(), Set.of(250, 300, 420, 424)));
  }

  @Test(dataProvider = "entryCounts")
  public void entriesThatJoinShareTheBudgetOfTheOthers(int entryCount) {
    doublingStep = 305;
    assertWithinBudget(play(entryCount, REQUEST_RATES.keySet(), Set.of()));
  }

  @Test(dataProvider = "entryCounts")
  public void retriesStayWithinTheBudgetWhileTheTableServiceIsDown(int entryCount) {
    tableDownSteps = List.of(100, 400);
    assertWithinBudget(play(entryCount, REQUEST_RATES.keySet(), Set.of(250, 300, 424)));
  }

  @Test(dataProvider = "entryCounts")
  public void mostOfTheBudgetCanBeUsed(int entryCount) {
    play(entryCount, REQUEST_RATES.keySet(), Set.of())
        .forEach((s, c) -> assertTrue(c.getUsedFraction() > 0.5, s + ": " + c.getUsedFraction()));
  }
}
