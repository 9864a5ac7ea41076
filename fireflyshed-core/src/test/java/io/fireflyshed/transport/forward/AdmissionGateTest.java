package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryAfterSchedule;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Tests which requests {@link AdmissionGate} lets through to targets that never respond. */
public class AdmissionGateTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final List<Target> TARGETS =
      List.of(
          ForwardFixtures.newTarget("one"),
          ForwardFixtures.newTarget("two"),
          ForwardFixtures.newTarget("three"));

  private final List<Disposable> requests = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private ManualClock clock;
  private SimpleMeterRegistry registry;
  private TargetPlacer placer;
  private ForwardException error;

  /** Forgets what happened before. */
  @BeforeMethod
  public void setUp() {
    requests.clear();
    events.clear();
    error = null;
  }

  /** Ends the requests in flight. */
  @AfterMethod
  public void tearDown() {
    requests.forEach(Disposable::dispose);
  }

  private static Route newRoute(int priority) {
    Route route = ForwardFixtures.newRoute(RequestKind.NON_IDEMPOTENT, false, TIMEOUT);
    return new Route(
        "route-" + priority,
        route.host(),
        "/" + priority + "/",
        route.kind(),
        TIMEOUT,
        route.latencyTarget(),
        priority,
        route.services(),
        1,
        true,
        false);
  }

  private Forwarder newForwarder(List<Integer> priorities) {
    clock = new ManualClock();
    registry = new SimpleMeterRegistry();
    PlacementSettings placement = PlacementSettings.ofDefaults();
    placer =
        new TargetPlacer(
            placement,
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            ForwardFixtures.newSchedule());
    ServiceRanks ranks =
        ServiceRanks.of(
            priorities.stream().map(AdmissionGateTest::newRoute).toList(), List.of(), true);
    return new Forwarder(
        ForwardFixtures.newView(TARGETS, () -> true),
        placer,
        new StallDetector(placement),
        (target, routed, remaining, lastEventId) -> {
          events.add(routed.request().id() + " " + target.id() + " " + routed.rank().value());
          return Flux.never();
        },
        TargetValidator.none(),
        new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 0),
        ForwardFixtures.newCrashGuard(),
        clock,
        stalledTarget -> {},
        registry,
        Reachability.always(),
        RequestRelay.none(),
        ByteBudget.unlimited(clock),
        () -> ranks);
  }

  private void forward(Forwarder forwarder, int number, int rank) {
    forward(
        forwarder,
        number,
        ForwardFixtures.newRequest("" + number, newRoute(rank), clock.nanoTime())
            .withRank(new Rank(rank)));
  }

  private void forward(Forwarder forwarder, int number, RoutedRequest routed) {
    requests.add(
        forwarder
            .forward(routed)
            .subscribe(
                part -> {},
                e -> {
                  error = (ForwardException) e;
                  events.add(number + " refused " + error.getRetryAfter());
                }));
  }

  /** Sends requests of two ranks in turn and tells their rate, as the load exchange does. */
  private void forwardMany(Forwarder forwarder, int count) {
    clock.advance(Duration.ofSeconds(1));
    placer.takeOwnLoad(Set.of(), Set.of(), clock.nanoTime());
    for (int i = 0; i < count; i++) {
      clock.advance(Duration.ofMillis(10));
      forward(forwarder, i, i % 2);
    }
    placer.takeOwnLoad(Set.of(), Set.of(), clock.nanoTime());
    clock.advance(Duration.ofMillis(500));
  }

  private double count(String decision, int rank) {
    return registry
        .counter("fireflyshed.admission.requests", "decision", decision, "rank", "" + rank)
        .count();
  }

  @Test
  public void lessUrgentRequestsAreRefusedWhileTheUrgentFindRoom() {
    Forwarder forwarder = newForwarder(List.of(0, 1));
    forwardMany(forwarder, 80);
    forward(forwarder, 80, 1);
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertTrue(error.getRetryAfter().compareTo(RetryAfterSchedule.MIN_WAIT) >= 0);
    assertTrue(error.getRetryAfter().compareTo(RetryAfterSchedule.MAX_WAIT) <= 0);
    forward(forwarder, 81, 0);
    assertTrue(events.get(events.size() - 1).startsWith("81 "), "" + events);
    assertFalse(events.get(events.size() - 1).contains("refused"), "" + events);
    assertEquals(count("refused", 0), 0.0);
    assertTrue(count("refused", 1) >= 1);
    assertTrue(
        registry
                .get("fireflyshed.admission.threshold")
                .tags("pool", ForwardFixtures.SERVICE.value(), "rank", "1")
                .gauge()
                .value()
            > 0);
  }

  /** Creates a request of a caller that goes on after an event of an interrupted stream. */
  private RoutedRequest newResumed(int number, int rank) {
    RoutedRequest routed =
        ForwardFixtures.newRequest("" + number, newRoute(rank), clock.nanoTime());
    TrafficRequest request = routed.request();
    return new RoutedRequest(
        new TrafficRequest(
            request.id(),
            request.method(),
            request.uri(),
            request.host(),
            request.headers(),
            request.key(),
            request.deadline(),
            request.prompt(),
            OptionalLong.of(12)),
        routed.body(),
        routed.route(),
        routed.service(),
        routed.account(),
        new Rank(rank),
        routed.configurationVersion(),
        routed.arrivalNanos(),
        routed.timeout(),
        routed.caller());
  }

  @Test
  public void streamThatACallerResumesIsNotAskedAgain() {
    Forwarder forwarder = newForwarder(List.of(0, 1));
    forwardMany(forwarder, 80);
    forward(forwarder, 80, newResumed(80, 1));
    assertTrue(events.get(events.size() - 1).startsWith("80 "), "" + events);
    assertFalse(events.get(events.size() - 1).contains("refused"), "" + events);
    forward(forwarder, 81, 1);
    assertTrue(events.get(events.size() - 1).contains("81 refused"), "" + events);
  }

  @Test
  public void decisionsAreTheSameWhereRanksDoNotDiffer() {
    forwardMany(newForwarder(List.of()), 150);
    List<String> before = List.copyOf(events);
    events.clear();
    forwardMany(newForwarder(List.of(1)), 150);
    assertEquals(events, before);
    assertTrue(events.get(events.size() - 1).contains("refused"), "" + events);
    assertTrue(registry.find("fireflyshed.admission.requests").counters().isEmpty());
    assertTrue(placer.takeOwnLoad(Set.of(), Set.of(), clock.nanoTime()).demands().isEmpty());
  }
}
