package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.ReachabilitySettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests in virtual time what callers of several entries get while all targets are silent. */
public class SilentTargetsTest {

  private static final int ENTRIES = 3;
  private static final int SEEDS = 20;
  private static final int REQUESTS = 120;
  private static final long PERIOD_MILLIS = 3000;
  private static final long SILENCE_START_MILLIS = 1000;
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final double FAILURE_RATE = 0.4;

  private final List<Target> targets = new ArrayList<>();
  private final List<Forwarder> forwarders = new ArrayList<>();
  private final List<ReachabilityWatch> watches = new ArrayList<>();

  /** The status of each run, by request and target. */
  private final Map<String, List<Integer>> statuses = new TreeMap<>();

  /** The status and the target of each complete response, by request. */
  private final Map<String, String> responses = new HashMap<>();

  private VirtualTimeScheduler scheduler;
  private UniformRandomProvider random;
  private long silenceMillis;
  private int relays;

  /** Starts to use virtual time. */
  @BeforeMethod
  public void setUp() {
    scheduler = VirtualTimeScheduler.getOrSet();
  }

  /** Returns to real time. */
  @AfterMethod
  public void tearDown() {
    VirtualTimeScheduler.reset();
  }

  /** Gets the number of targets and the length of their common silence. */
  @DataProvider
  public Object[][] silences() {
    return new Object[][] {{2, 1000}, {2, 1400}, {4, 1200}, {12, 1300}};
  }

  @Test(dataProvider = "silences")
  public void successIsNeverThatOfATargetThatFailedTheSameRequest(int targetCount, int millis) {
    int relayed = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      run(seed, targetCount, millis);
      relayed += relays;
      for (Map.Entry<String, String> response : responses.entrySet()) {
        String[] words = response.getValue().split(" ");
        String key = response.getKey() + " at " + words[1];
        List<Integer> own = statuses.get(key);
        assertEquals(own, List.of(Integer.valueOf(words[0])), "seed " + seed + ": " + key);
      }
      statuses.forEach((key, runs) -> assertEquals(runs.size(), 1, key + " ran twice"));
    }
    assertTrue(relayed > 0, "no request was relayed");
  }

  private void run(long seed, int targetCount, long newSilenceMillis) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    silenceMillis = newSilenceMillis;
    relays = 0;
    targets.clear();
    forwarders.clear();
    watches.clear();
    statuses.clear();
    responses.clear();
    for (int i = 0; i < targetCount; i++) {
      targets.add(ForwardFixtures.newTarget("t" + i));
    }
    long startMillis = nowMillis();
    for (int i = 0; i < ENTRIES; i++) {
      forwarders.add(newForwarder(i, startMillis));
    }
    forwarders.forEach(Forwarder::start);
    watches.forEach(ReachabilityWatch::start);
    for (int i = 0; i < REQUESTS; i++) {
      String id = "req" + i;
      Forwarder entry = forwarders.get(i % ENTRIES);
      Mono.delay(Duration.ofMillis(random.nextInt((int) PERIOD_MILLIS)))
          .subscribe(t -> start(id, entry));
    }
    scheduler.advanceTimeBy(Duration.ofMillis(PERIOD_MILLIS).plus(TIMEOUT.multipliedBy(2)));
    forwarders.forEach(Forwarder::stop);
    watches.forEach(ReachabilityWatch::stop);
  }

  private void start(String id, Forwarder entry) {
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT, 3);
    StringBuilder text = new StringBuilder();
    entry
        .forward(ForwardFixtures.newRequest(id, route, nanoTime()))
        .subscribe(
            part ->
                text.append(
                    part instanceof ResponsePart.Head head
                        ? head.response().status() + " "
                        : new String(
                            ((ResponsePart.BodyChunk) part).bytes(), StandardCharsets.UTF_8)),
            e -> {},
            () -> responses.put(id, text.toString()));
  }

  private Forwarder newForwarder(int entry, long startMillis) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    TargetPlacer placer =
        new TargetPlacer(placement, ForwardFixtures.ZONE, random, ForwardFixtures.newSchedule());
    ReachabilityWatch watch =
        new ReachabilityWatch(
            new ReachabilityMonitor(ReachabilitySettings.ofDefaults(), nanoTime()),
            () -> targets,
            () -> targets,
            placer,
            target -> Mono.delay(Duration.ofMillis(2)).then(),
            random,
            this::nanoTime,
            registry);
    watches.add(watch);
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> true),
        placer,
        new StallDetector(placement),
        (target, routed, remaining, lastEventId) -> respond(target, routed, startMillis),
        new ServiceRetryBudgets(0.2, Duration.ofSeconds(10), () -> 100),
        ForwardFixtures.newCrashGuard(),
        this::nanoTime,
        stalledTarget -> {},
        registry,
        watch,
        request -> relay(entry, request),
        ByteBudget.unlimited(this::nanoTime));
  }

  /** Runs a request and responds with its status and target once the silence is over. */
  private Flux<ResponsePart> respond(Target target, RoutedRequest routed, long startMillis) {
    return Flux.defer(
        () -> {
          String id = routed.request().id();
          int status = random.nextDouble() < FAILURE_RATE ? 500 : 200;
          statuses.computeIfAbsent(id + " at " + target.id(), k -> new ArrayList<>()).add(status);
          long now = nowMillis() - startMillis;
          long delayMillis = 20 + random.nextInt(60);
          long endMillis = SILENCE_START_MILLIS + silenceMillis;
          if (now + delayMillis >= SILENCE_START_MILLIS && now < endMillis) {
            delayMillis = Math.max(delayMillis, endMillis - now);
          }
          return Mono.delay(Duration.ofMillis(delayMillis))
              .thenMany(
                  Flux.just(
                      ForwardFixtures.newHead(id, status),
                      ForwardFixtures.newBodyChunk(target.id().value())));
        });
  }

  /** Passes a request to the first of the other entries that can place it. */
  private Flux<ResponsePart> relay(int sender, RelayedRequest request) {
    return Flux.defer(
        () -> {
          RoutedRequest routed = request.routed();
          for (int i = 1; i < ENTRIES; i++) {
            Forwarder other = forwarders.get((sender + i) % ENTRIES);
            if (other.canPlace(routed.service(), routed.getPool(), false)) {
              relays++;
              return other.forwardRelayed(request);
            }
          }
          return RequestRelay.none().relay(request);
        });
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
