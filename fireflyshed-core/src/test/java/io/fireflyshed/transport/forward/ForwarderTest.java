package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests how the outcomes of attempts affect later attempts of {@link Forwarder}. */
public class ForwarderTest {

  private static final String BODY = "done";
  private static final int CHUNK_BYTES = 1 << 16;

  /** The bytes of endless responses that all attempts of one request may read. */
  private static final int MAX_READ_BYTES = 16 << 20;

  private final Map<String, AttemptException> errors = new HashMap<>();
  private final Map<String, Flux<ResponsePart>> responses = new HashMap<>();
  private final List<String> triedTargets = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  private SimpleMeterRegistry registry;
  private Forwarder forwarder;
  private TargetPlacer placer;
  private ForwardFixtures.FakeCrashGuard crashGuard;
  private boolean isRead;

  /** Creates a forwarder with three targets in its own zone and an empty retry budget. */
  @BeforeMethod
  public void setUp() {
    errors.clear();
    responses.clear();
    triedTargets.clear();
    isRead = true;
    targets.clear();
    addTargets("one", "two", "three");
    registry = new SimpleMeterRegistry();
    crashGuard = ForwardFixtures.newCrashGuard();
    forwarder = newForwarder(0);
  }

  private void addTargets(String... ids) {
    for (String id : ids) {
      targets.add(ForwardFixtures.newTarget(id));
    }
  }

  private Forwarder newForwarder(int maxRetries) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    placer =
        new TargetPlacer(
            placement,
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            ForwardFixtures.newSchedule());
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> isRead),
        placer,
        new StallDetector(placement),
        this::send,
        new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> maxRetries),
        crashGuard,
        MonotonicClock.system(),
        stalledTarget -> {},
        registry);
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    triedTargets.add(target.id().value());
    AttemptException error = errors.get(target.id().value());
    if (error != null) {
      return Flux.error(error);
    }
    Flux<ResponsePart> response = responses.get(target.id().value());
    if (response != null) {
      return response;
    }
    return Flux.just(
        ForwardFixtures.newHead(routed.request().id(), 200), ForwardFixtures.newBodyChunk(BODY));
  }

  /** Forwards a non-idempotent request and returns the parts of its response. */
  private List<ResponsePart> forward() {
    Route route =
        ForwardFixtures.newRoute(RequestKind.NON_IDEMPOTENT, false, Duration.ofSeconds(1));
    return forwarder
        .forward(ForwardFixtures.newRequest("id", route, System.nanoTime()))
        .collectList()
        .block();
  }

  private void failWith(AttemptException error, String... targets) {
    for (String target : targets) {
      errors.put(target, error);
    }
  }

  private static AttemptException newUnreachableException() {
    return new TargetUnreachableException("forward", "peer", "connection refused", null);
  }

  @Test
  public void unreachableTargetConsumesNoRetryBudget() {
    failWith(newUnreachableException(), "one", "two");
    assertEquals(forward().size(), 2);
  }

  @Test
  public void unreachableTargetIsTriedOnlyOnce() {
    failWith(newUnreachableException(), "one", "two");
    for (int i = 0; i < 10; i++) {
      forward();
    }
    assertEquals(Collections.frequency(triedTargets, "one"), 1);
    assertEquals(Collections.frequency(triedTargets, "two"), 1);
  }

  @Test
  public void requestIsRefusedImmediatelyIfNoTargetIsReachable() {
    failWith(newUnreachableException(), "one", "two", "three");
    expectThrows(ForwardException.class, this::forward);
    triedTargets.clear();
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets, List.of());
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertTrue(error.getRetryAfter().compareTo(Duration.ofSeconds(1)) <= 0);
  }

  @Test
  public void retryDelayIsShortWhileTheTargetsAreNotReadYet() {
    isRead = false;
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(error.getRetryAfter(), Duration.ofMillis(200));
  }

  @Test
  public void retriesOfRejectedAttemptsConsumeRetryBudget() {
    AttemptException rejected =
        new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null);
    failWith(rejected, "one", "two", "three");
    expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets.size(), 1);
    triedTargets.clear();
    forwarder = newForwarder(10);
    expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets.size(), 3);
  }

  @Test
  public void attemptsStopOnceTheCallerIsKnownToHaveLeft() {
    forwarder = newForwarder(10);
    failWith(
        new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null),
        "one",
        "two",
        "three");
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(1));
    RoutedRequest request =
        ForwardFixtures.newRequest(
            "id",
            route,
            System.nanoTime(),
            () -> triedTargets.isEmpty() ? Mono.empty() : Mono.never());
    forwarder
        .forward(request)
        .takeUntilOther(Mono.delay(Duration.ofMillis(100)))
        .blockLast(Duration.ofSeconds(1));
    assertEquals(triedTargets.size(), 1, "tried " + triedTargets);
  }

  @Test
  public void failedAttemptWithoutAnotherTargetConsumesNoRetryBudget() {
    forwarder = newForwarder(2);
    failWith(
        new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null),
        "one",
        "two",
        "three");
    targets.clear();
    addTargets("one");
    expectThrows(ForwardException.class, this::forward);
    assertEquals(countFailures("no_target"), 1.0);
    addTargets("two", "three");
    triedTargets.clear();
    expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets.size(), 2);
  }

  private double countFailures(String verdict) {
    return registry.get("fireflyshed.forward.failures").tag("retry", verdict).counter().count();
  }

  @Test
  public void metricsTellChargedRetriesFromFreeAndRefusedOnes() {
    forwarder = newForwarder(2);
    AttemptException rejected =
        new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null);
    failWith(newUnreachableException(), "one");
    failWith(rejected, "two", "three");
    for (int i = 0; i < 3; i++) {
      expectThrows(ForwardException.class, this::forward);
    }
    assertEquals(countFailures("free"), 1.0);
    assertEquals(countFailures("charged"), 1.0);
    assertTrue(countFailures("no_budget") >= 2);
    assertEquals(registry.get("fireflyshed.forward.requests").counter().count(), 3.0);
    assertEquals(
        registry.get("fireflyshed.forward.attempts").counter().count(), triedTargets.size());
  }

  /** Provides every combination of the results of attempts at three targets. */
  @DataProvider
  public Object[][] attemptResults() {
    List<AttemptException> results = new ArrayList<>();
    results.add(null);
    results.add(newUnreachableException());
    results.add(new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null));
    results.add(new AttemptException("forward", "peer", Outcome.UNKNOWN, "lost", null));
    List<Object[]> combinations = new ArrayList<>();
    for (AttemptException first : results) {
      for (AttemptException second : results) {
        for (AttemptException third : results) {
          combinations.add(new Object[] {first, second, third});
        }
      }
    }
    return combinations.toArray(new Object[0][]);
  }

  @Test(dataProvider = "attemptResults")
  public void arrivalsBeyondTheFirstAreAllCharged(
      AttemptException first, AttemptException second, AttemptException third) {
    forwarder = newForwarder(10);
    errors.put("one", first);
    errors.put("two", second);
    errors.put("three", third);
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(1));
    forwarder
        .forward(ForwardFixtures.newRequest("id", route, System.nanoTime()))
        .onErrorComplete()
        .blockLast();
    long arrivals =
        triedTargets.stream()
            .filter(t -> !(errors.get(t) instanceof TargetUnreachableException))
            .count();
    Counter charged =
        registry.find("fireflyshed.forward.failures").tag("retry", "charged").counter();
    assertTrue(arrivals - 1 <= (charged == null ? 0 : charged.count()), triedTargets.toString());
  }

  private void refuseAfter(int interruptions) {
    crashGuard = new ForwardFixtures.FakeCrashGuard(interruptions);
    forwarder = newForwarder(10);
  }

  private ForwardException forwardLookup() {
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(1));
    return expectThrows(
        ForwardException.class,
        () ->
            forwarder
                .forward(ForwardFixtures.newRequest("id", route, System.nanoTime()))
                .blockLast());
  }

  @Test
  public void refusedRequestIsSentToNoTarget() {
    refuseAfter(0);
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets, List.of());
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(error.getRetryAfter(), Duration.ofMinutes(1));
  }

  // Guards against a trial of a refused request that crashes more than one target.
  @Test
  public void trialOfARefusedRequestIsSentOnce() {
    refuseAfter(0);
    AtomicInteger sent = new AtomicInteger();
    crashGuard.grantTrial(new CrashTrial(sent::incrementAndGet, () -> {}));
    failWith(new ConnectionLostException("forward", "peer", "closed", null), "one", "two", "three");
    forwardLookup();
    assertEquals(triedTargets.size(), 1);
    assertEquals(sent.get(), 1);
  }

  @Test
  public void requestThatIsRefusedAfterItsAttemptIsNotRetried() {
    refuseAfter(1);
    failWith(new ConnectionLostException("forward", "peer", "closed", null), "one", "two", "three");
    ForwardException error = forwardLookup();
    assertEquals(triedTargets.size(), 1);
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertEquals(countFailures("refused"), 1.0);
  }

  @Test
  public void onlyLostConnectionsCountAsInterruptions() {
    failWith(new AttemptException("forward", "peer", Outcome.NOT_RUN, "full", null), "one");
    failWith(new AttemptException("forward", "peer", Outcome.UNKNOWN, "stalled", null), "two");
    failWith(newUnreachableException(), "three");
    forwarder = newForwarder(10);
    forwardLookup();
    assertEquals(crashGuard.getInterruptions(), 0);
    failWith(new ConnectionLostException("forward", "peer", "closed", null), "one", "two", "three");
    forwardLookup();
    assertTrue(crashGuard.getInterruptions() > 0);
    assertEquals(crashGuard.getSuccesses(), 0);
  }

  private List<ResponsePart> forwardStream() {
    Route route = ForwardFixtures.newRoute(RequestKind.STREAM, true, Duration.ofSeconds(5));
    return forwarder
        .forward(ForwardFixtures.newRequest("id", route, System.nanoTime()))
        .collectList()
        .block();
  }

  private void respondWith(Flux<ResponsePart> response) {
    targets.forEach(t -> responses.put(t.id().value(), response));
    forwarder = newForwarder(10);
  }

  @Test
  public void streamThatEndsWithItsConnectionBeforeTheFirstEventIsInterrupted() {
    respondWith(Flux.just(ForwardFixtures.newHead("id", 200)));
    expectThrows(ForwardException.class, this::forwardStream);
    assertEquals(triedTargets.size(), ForwardFixtures.MAX_ATTEMPTS);
    assertEquals(crashGuard.getInterruptions(), ForwardFixtures.MAX_ATTEMPTS);
  }

  @Test
  public void emptyStreamWithAContentLengthIsComplete() {
    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    respondWith(Flux.just(ForwardFixtures.newHead("id", 200, headers)));
    assertEquals(forwardStream().size(), 1);
    assertEquals(crashGuard.getInterruptions(), 0);
  }

  /** Responds with a head and chunks without end, and counts the bytes that are read. */
  private AtomicLong respondWithoutEnd(int status) {
    AtomicLong bytes = new AtomicLong();
    Flux<ResponsePart> chunks =
        Flux.generate(
            sink -> {
              bytes.addAndGet(CHUNK_BYTES);
              sink.next(new ResponsePart.BodyChunk(new byte[CHUNK_BYTES]));
            });
    respondWith(Flux.concat(Flux.just(ForwardFixtures.newHead("id", status)), chunks));
    return bytes;
  }

  @Test
  public void responseOfAPlainServiceWithoutEndIsAbandoned() {
    AtomicLong bytes = respondWithoutEnd(200);
    ForwardException error = forwardLookup();
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertTrue(bytes.get() <= MAX_READ_BYTES, "bytes read: " + bytes);
  }

  @Test
  public void eventWithoutEndIsAbandoned() {
    AtomicLong bytes = respondWithoutEnd(200);
    expectThrows(ForwardException.class, this::forwardStream);
    assertTrue(bytes.get() <= MAX_READ_BYTES, "bytes read: " + bytes);
  }

  @Test
  public void errorResponseOfAStreamWithoutEndIsAbandoned() {
    AtomicLong bytes = respondWithoutEnd(500);
    expectThrows(ForwardException.class, this::forwardStream);
    assertTrue(bytes.get() <= MAX_READ_BYTES, "bytes read: " + bytes);
  }

  @Test
  public void completeResponseCountsAsSuccess() {
    forward();
    assertEquals(crashGuard.getSuccesses(), 1);
  }

  @Test
  public void nonIdempotentRequestIsNotRetriedIfItMayHaveRun() {
    forwarder = newForwarder(10);
    AttemptException lost = new AttemptException("forward", "peer", Outcome.UNKNOWN, "lost", null);
    failWith(lost, "one", "two", "three");
    ForwardException error = expectThrows(ForwardException.class, this::forward);
    assertEquals(triedTargets.size(), 1);
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
  }

  private static TargetAnswer newRejection(int status, double limit) {
    return new TargetAnswer(
        status,
        new DefaultHttpHeaders(),
        Optional.empty(),
        false,
        true,
        Optional.empty(),
        OptionalDouble.of(limit));
  }

  private OptionalDouble getRequestLimit(String target) {
    return placer.getRequestLimit(new InstanceId(target));
  }

  @Test
  public void rejectedRequestTellsTheLimitOfItsTarget() {
    errors.put("one", new RequestRejectedException("forward", "one", newRejection(503, 2)));
    failWith(newUnreachableException(), "two", "three");
    expectThrows(ForwardException.class, this::forward);
    assertEquals(getRequestLimit("one"), OptionalDouble.of(2));
  }

  @Test
  public void misdirectedRequestTellsNoLimitOfItsTarget() {
    errors.put("one", new RequestRejectedException("forward", "one", newRejection(421, 2)));
    failWith(newUnreachableException(), "two", "three");
    expectThrows(ForwardException.class, this::forward);
    assertEquals(getRequestLimit("one"), OptionalDouble.empty());
  }

  @Test
  public void successWithoutLimitLiftsTheLimitOfItsTarget() {
    placer.onRequestLimit(new InstanceId("one"), OptionalDouble.of(1000));
    failWith(newUnreachableException(), "two", "three");
    forward();
    assertEquals(getRequestLimit("one"), OptionalDouble.empty());
  }
}
