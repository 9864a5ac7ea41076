package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.budget.ByteBudget;
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
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Tests which requests {@link Forwarder} has forwarded by other entries, and those it gets. */
public class RelayForwardingTest {

  private static final String BODY = "done";
  private static final Duration RETRY_AFTER = Duration.ofMillis(777);

  /** Tells the forwarder what the test sets. */
  private static final class FakeReachability implements Reachability {
    private boolean isIsolated;
    private boolean isImpaired;
    private int failures;
    private int signs;

    @Override
    public void onFailure(InstanceId target) {
      failures++;
    }

    @Override
    public void onSilent(InstanceId target) {
      onFailure(target);
    }

    @Override
    public void onSignOfLife() {
      signs++;
    }

    @Override
    public boolean isIsolated() {
      return isIsolated;
    }

    @Override
    public boolean isImpaired() {
      return isImpaired;
    }
  }

  /**
   * Records requests and returns prepared responses, the last one again and again. Each relay tells
   * one target, unless it is to act as an entry of an earlier version.
   */
  private static final class FakeRelay implements RequestRelay {
    private final List<RelayedRequest> requests = new ArrayList<>();
    private final Deque<String> targets = new ArrayDeque<>();
    private boolean isTelling = true;
    private boolean isLost;
    private final Deque<Flux<ResponsePart>> responses = new ArrayDeque<>();
    private boolean isAvailable = true;

    @Override
    public Flux<ResponsePart> relay(RelayedRequest request) {
      requests.add(request);
      if (isTelling) {
        String target = targets.isEmpty() ? "other" + requests.size() : targets.remove();
        request.listener().onAttempt(new InstanceId(target));
      }
      Flux<ResponsePart> response = responses.size() > 1 ? responses.remove() : responses.element();
      return isLost
          ? response
          : response
              .doOnComplete(() -> request.listener().onEnd(Outcome.RAN))
              .doOnError(e -> request.listener().onEnd(getOutcome(e)));
    }

    private static Outcome getOutcome(Throwable error) {
      return error instanceof ForwardException e ? e.getOutcome() : Outcome.UNKNOWN;
    }

    @Override
    public boolean isAvailable() {
      return isAvailable;
    }
  }

  private final Map<String, Flux<ResponsePart>> responses = new HashMap<>();
  private final List<String> triedTargets = new ArrayList<>();
  private final List<Duration> remainingTimes = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  private FakeReachability reachability;
  private FakeRelay relay;
  private ForwardFixtures.FakeCrashGuard crashGuard;
  private TargetPlacer placer;
  private Forwarder forwarder;

  /** Creates a forwarder with three targets, a retry budget and a relay that succeeds. */
  @BeforeMethod
  public void setUp() {
    responses.clear();
    triedTargets.clear();
    remainingTimes.clear();
    targets.clear();
    for (String id : List.of("one", "two", "three")) {
      targets.add(ForwardFixtures.newTarget(id));
    }
    reachability = new FakeReachability();
    relay = new FakeRelay();
    relay.responses.add(newResponse(200));
    crashGuard = ForwardFixtures.newCrashGuard();
    forwarder = newForwarder(0, 10);
  }

  private Forwarder newForwarder(double retryRatio, int maxRetries) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    placer =
        new TargetPlacer(
            placement,
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            ForwardFixtures.newSchedule());
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> true),
        placer,
        new StallDetector(placement),
        this::send,
        new ServiceRetryBudgets(retryRatio, Duration.ofSeconds(10), () -> maxRetries),
        crashGuard,
        MonotonicClock.system(),
        stalledTarget -> {},
        new SimpleMeterRegistry(),
        reachability,
        relay,
        ByteBudget.unlimited(MonotonicClock.system()));
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    triedTargets.add(target.id().value());
    remainingTimes.add(remaining);
    return responses.getOrDefault(target.id().value(), newResponse(200));
  }

  private static Flux<ResponsePart> newResponse(int status) {
    return Flux.just(ForwardFixtures.newHead("id", status), ForwardFixtures.newBodyChunk(BODY));
  }

  private static Flux<ResponsePart> newEvents(int first, int last) {
    List<ResponsePart> parts = new ArrayList<>();
    parts.add(ForwardFixtures.newHead("id", 200));
    for (int i = first; i <= last; i++) {
      parts.add(ForwardFixtures.newBodyChunk("id: " + i + "\ndata: x\n\n"));
    }
    return Flux.fromIterable(parts);
  }

  private static Flux<ResponsePart> newRelayFailure(Outcome outcome) {
    return Flux.error(new ForwardException("relay", "peer", "failed", outcome, RETRY_AFTER, false));
  }

  private void respondWith(Flux<ResponsePart> response) {
    targets.forEach(t -> responses.put(t.id().value(), response));
  }

  private void makeUnreachable() {
    respondWith(
        Flux.error(new TargetUnreachableException("forward", "peer", "no connection", null)));
  }

  private static AttemptException newLostException() {
    return new ConnectionLostException("forward", "peer", "reset", null);
  }

  private static RoutedRequest newRequest(RequestKind kind) {
    Route route = ForwardFixtures.newRoute(kind, kind == RequestKind.STREAM, Duration.ofSeconds(2));
    return ForwardFixtures.newRequest("id", route, System.nanoTime());
  }

  private List<ResponsePart> forward(RequestKind kind) {
    return forwarder.forward(newRequest(kind)).collectList().block();
  }

  private ForwardException forwardInVain(RequestKind kind) {
    return expectThrows(ForwardException.class, () -> forward(kind));
  }

  private static String getText(List<ResponsePart> parts) {
    StringBuilder text = new StringBuilder();
    for (ResponsePart part : parts) {
      if (part instanceof ResponsePart.BodyChunk chunk) {
        text.append(new String(chunk.bytes(), StandardCharsets.UTF_8));
      }
    }
    return text.toString();
  }

  @Test
  public void isolatedEntryTriesNoTarget() {
    reachability.isIsolated = true;
    assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
    assertEquals(triedTargets, List.of());
    assertEquals(relay.requests.size(), 1);
  }

  @Test
  public void isolatedEntryTriesItsTargetsIfNoOtherEntryIsKnown() {
    reachability.isIsolated = true;
    relay.isAvailable = false;
    assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
    assertEquals(triedTargets.size(), 1);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void requestIsRelayedOnceNoTargetIsReachable() {
    forwarder = newForwarder(0, 0);
    makeUnreachable();
    assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
    assertEquals(triedTargets.size(), 3);
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of());
    triedTargets.clear();
    forward(RequestKind.NON_IDEMPOTENT);
    assertEquals(triedTargets, List.of());
    assertEquals(reachability.failures, 3);
  }

  @Test
  public void impairedEntryTriesOneTarget() {
    reachability.isImpaired = true;
    makeUnreachable();
    assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
    assertEquals(triedTargets.size(), 1);
    assertEquals(relay.requests.size(), 1);
  }

  @Test
  public void impairedEntryUsesItsOwnTargetsIfNoOtherEntryTakesTheRequest() {
    reachability.isImpaired = true;
    makeUnreachable();
    responses.put("three", newResponse(200));
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.NOT_RUN));
    for (int i = 0; i < 5; i++) {
      assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
    }
  }

  @Test
  public void requestIsNotRelayedIfTargetsAreFull() {
    targets.forEach(t -> placer.onLoad(t.id(), 1000, 1, 0));
    forwardInVain(RequestKind.NON_IDEMPOTENT);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void requestIsNotRelayedWithoutTargets() {
    targets.clear();
    forwardInVain(RequestKind.NON_IDEMPOTENT);
    reachability.isIsolated = true;
    forwardInVain(RequestKind.NON_IDEMPOTENT);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void nonIdempotentRequestThatMayHaveRunIsNotRelayed() {
    respondWith(newLossThatIsolates(Flux.empty()));
    ForwardException error = forwardInVain(RequestKind.NON_IDEMPOTENT);
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertEquals(relay.requests, List.of());
  }

  /** Returns parts and then loses the connection at the moment at which the entry is cut off. */
  private Flux<ResponsePart> newLossThatIsolates(Flux<ResponsePart> parts) {
    return newFailureThatIsolates(parts, newLostException());
  }

  private Flux<ResponsePart> newFailureThatIsolates(
      Flux<ResponsePart> parts, AttemptException error) {
    return parts.concatWith(
        Flux.defer(
            () -> {
              reachability.isIsolated = true;
              return Flux.error(error);
            }));
  }

  @Test
  public void nonIdempotentRequestIsRelayedOnlyOnceIfItMayHaveRun() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    assertEquals(forwardInVain(RequestKind.NON_IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
    assertEquals(relay.requests.size(), 1);
  }

  @Test
  public void idempotentRequestIsRelayedAtMostTwice() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    assertEquals(forwardInVain(RequestKind.IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
    assertEquals(relay.requests.size(), 2);
    assertEquals(relay.requests.stream().mapToInt(RelayedRequest::maxAttempts).sum(), 2);
  }

  @Test
  public void relaysTogetherMakeNoMoreAttemptsThanTheRoute() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(2), 4);
    RoutedRequest request = ForwardFixtures.newRequest("id", route, System.nanoTime());
    expectThrows(ForwardException.class, () -> forwarder.forward(request).blockLast());
    assertEquals(relay.requests.stream().mapToInt(RelayedRequest::maxAttempts).sum(), 4);
  }

  @Test
  public void emptyStreamOfARelayIsComplete() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(Flux.just(ForwardFixtures.newHead("id", 200)));
    assertEquals(forward(RequestKind.STREAM).size(), 1);
    assertEquals(relay.requests.size(), 1);
  }

  @Test
  public void secondRelayOfARequestThatMayHaveRunIsCharged() {
    forwarder = newForwarder(0, 1);
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    forwardInVain(RequestKind.IDEMPOTENT);
    forwardInVain(RequestKind.IDEMPOTENT);
    assertEquals(relay.requests.size(), 3);
  }

  @Test
  public void ownAttemptAfterAnotherEntryDidNotRunTheRequestIsCharged() {
    for (int maxRetries : List.of(0, 2)) {
      setUp();
      forwarder = newForwarder(0, maxRetries);
      reachability.isIsolated = true;
      relay.responses.clear();
      relay.responses.add(
          Flux.defer(
              () -> {
                reachability.isIsolated = false;
                relay.requests.get(0).retryPermit().getAsBoolean();
                return newRelayFailure(Outcome.NOT_RUN);
              }));
      forwarder.forward(newRequest(RequestKind.NON_IDEMPOTENT)).onErrorComplete().blockLast();
      assertEquals(triedTargets.size(), maxRetries > 0 ? 1 : 0);
    }
  }

  @Test
  public void relayAfterAnAttemptThatMayHaveRunIsCharged() {
    forwarder = newForwarder(0, 0);
    respondWith(newLossThatIsolates(Flux.empty()));
    forwardInVain(RequestKind.IDEMPOTENT);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void relayedRequestHasTheAttemptsThatAreLeft() {
    respondWith(newLossThatIsolates(Flux.empty()));
    assertEquals(getText(forward(RequestKind.IDEMPOTENT)), BODY);
    assertEquals(triedTargets.size(), 1);
    assertEquals(relay.requests.get(0).maxAttempts(), 1);
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    reachability.isIsolated = false;
    triedTargets.clear();
    forwardInVain(RequestKind.IDEMPOTENT);
    assertEquals(triedTargets.size(), 1);
    assertEquals(relay.requests.size(), 2);
  }

  @Test
  public void requestThatNoEntryRanIsRefusedAtOnceWithItsRetryDelay() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.NOT_RUN));
    ForwardException error = forwardInVain(RequestKind.IDEMPOTENT);
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(error.getRetryAfter(), RETRY_AFTER);
    assertEquals(relay.requests.size(), 1);
  }

  @Test
  public void outcomeOfTheAttemptsBeforeIsKept() {
    respondWith(newLossThatIsolates(Flux.empty()));
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.NOT_RUN));
    assertEquals(forwardInVain(RequestKind.IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
  }

  @Test
  public void unexpectedErrorOfARelayHasAnUnknownOutcome() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(Flux.error(new IllegalStateException("unexpected")));
    assertEquals(forwardInVain(RequestKind.NON_IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
  }

  @Test
  public void crashingRequestIsNotRelayed() {
    crashGuard = new ForwardFixtures.FakeCrashGuard(0);
    forwarder = newForwarder(0, 10);
    reachability.isIsolated = true;
    assertEquals(forwardInVain(RequestKind.IDEMPOTENT).getOutcome(), Outcome.NOT_RUN);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void failureOfARelayIsNoInterruption() {
    reachability.isIsolated = true;
    forward(RequestKind.IDEMPOTENT);
    assertEquals(crashGuard.getSuccesses(), 1);
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    forwardInVain(RequestKind.IDEMPOTENT);
    assertEquals(crashGuard.getInterruptions(), 0);
    assertEquals(crashGuard.getSuccesses(), 1);
  }

  @Test
  public void brokenStreamIsResumedThroughARelayWithoutDuplicates() {
    respondWith(newLossThatIsolates(newEvents(1, 2)));
    relay.responses.clear();
    relay.responses.add(newEvents(2, 4));
    List<ResponsePart> parts = forward(RequestKind.STREAM);
    assertEquals(getText(parts), getText(newEvents(1, 4).collectList().block()));
    assertEquals(parts.stream().filter(p -> p instanceof ResponsePart.Head).count(), 1);
    assertEquals(relay.requests.get(0).lastEventId(), OptionalLong.of(2));
  }

  @Test
  public void streamThatBreaksOffAtARelayIsResumedThroughAnother() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newEvents(1, 2).concatWith(newRelayFailure(Outcome.UNKNOWN)));
    relay.responses.add(newEvents(3, 4));
    assertEquals(
        getText(forward(RequestKind.STREAM)), getText(newEvents(1, 4).collectList().block()));
    assertEquals(relay.requests.get(1).lastEventId(), OptionalLong.of(2));
  }

  @Test
  public void streamThatEndsWithinAnEventAtARelayIsNotComplete() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newEvents(1, 2).concatWith(Flux.just(newPartialEvent())));
    assertEquals(forwardInVain(RequestKind.STREAM).getOutcome(), Outcome.UNKNOWN);
  }

  private static ResponsePart newPartialEvent() {
    return ForwardFixtures.newBodyChunk("id: 3\nda");
  }

  @Test
  public void errorResponseOfATargetIsPassedOn() {
    reachability.isIsolated = true;
    relay.responses.clear();
    relay.responses.add(newResponse(500));
    for (RequestKind kind : RequestKind.values()) {
      List<ResponsePart> parts = forward(kind);
      assertEquals(((ResponsePart.Head) parts.get(0)).response().status(), 500);
      assertEquals(getText(parts), BODY);
    }
  }

  @Test
  public void cancellationReachesTheRelay() {
    reachability.isIsolated = true;
    boolean[] isCancelled = new boolean[1];
    relay.responses.clear();
    relay.responses.add(Flux.<ResponsePart>never().doOnCancel(() -> isCancelled[0] = true));
    Disposable subscription = forwarder.forward(newRequest(RequestKind.STREAM)).subscribe();
    subscription.dispose();
    assertTrue(isCancelled[0]);
  }

  @Test
  public void timeoutEndsTheRelay() {
    reachability.isIsolated = true;
    boolean[] isCancelled = new boolean[1];
    relay.responses.clear();
    relay.responses.add(Flux.<ResponsePart>never().doOnCancel(() -> isCancelled[0] = true));
    Route route =
        ForwardFixtures.newRoute(RequestKind.NON_IDEMPOTENT, false, Duration.ofMillis(100));
    RoutedRequest request = ForwardFixtures.newRequest("id", route, System.nanoTime());
    ForwardException error =
        expectThrows(ForwardException.class, () -> forwarder.forward(request).blockLast());
    assertTrue(error.isTimeout());
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertTrue(isCancelled[0]);
    assertTrue(relay.requests.get(0).remaining().compareTo(Duration.ofMillis(100)) <= 0);
  }

  @Test
  public void rejectionIsASignOfLifeAndItsTargetIsNotTriedAgainElsewhere() {
    makeUnreachable();
    responses.put("one", Flux.error(newRejection()));
    forward(RequestKind.IDEMPOTENT);
    assertTrue(triedTargets.contains("one"));
    assertEquals(reachability.signs, 1);
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of(new InstanceId("one")));
  }

  /** Gets the failures of attempts after which their target may have run the request. */
  @DataProvider
  public Object[][] possibleRuns() {
    return new Object[][] {
      {newLostException()},
      {new TargetLostException("forward", "peer", Outcome.UNKNOWN, "no complete response", null)},
      {new AttemptException("forward", "peer", Outcome.UNKNOWN, "unexpected", null)}
    };
  }

  @Test(dataProvider = "possibleRuns")
  public void requestThatMayHaveRunAtATargetReachesItThroughNoOtherEntry(AttemptException error) {
    for (RequestKind kind : List.of(RequestKind.IDEMPOTENT, RequestKind.STREAM)) {
      triedTargets.clear();
      relay.requests.clear();
      reachability.isIsolated = false;
      respondWith(newFailureThatIsolates(Flux.empty(), error));
      relay.responses.clear();
      relay.responses.add(newEvents(1, 2));
      forward(kind);
      assertEquals(triedTargets.size(), 1);
      assertEquals(
          relay.requests.get(0).excludedTargets(), Set.of(new InstanceId(triedTargets.get(0))));
    }
  }

  @Test
  public void requestIsNotRelayedIfItMayHaveRunAtEachTarget() {
    targets.subList(1, 3).clear();
    respondWith(newFailureThatIsolates(Flux.empty(), newLostException()));
    assertEquals(forwardInVain(RequestKind.IDEMPOTENT).getOutcome(), Outcome.UNKNOWN);
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void streamThatFallsSilentAfterAnEventMayGoOnAtItsTarget() {
    targets.subList(1, 3).clear();
    respondWith(
        newFailureThatIsolates(
            newEvents(1, 2),
            new TargetLostException("forward", "peer", Outcome.UNKNOWN, "stalled", null)));
    relay.responses.clear();
    relay.responses.add(newEvents(3, 4));
    assertEquals(
        getText(forward(RequestKind.STREAM)), getText(newEvents(1, 4).collectList().block()));
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of());
  }

  /** Gets the responses of relays whose target may have run the request. */
  @DataProvider
  public Object[][] failedRelays() {
    return new Object[][] {{newResponse(500)}, {newRelayFailure(Outcome.UNKNOWN)}};
  }

  @Test(dataProvider = "failedRelays")
  public void secondRelayReachesNoTargetOfTheFirst(Flux<ResponsePart> response) {
    reachability.isIsolated = true;
    relay.targets.addAll(List.of("one", "two"));
    relay.responses.clear();
    relay.responses.add(response);
    relay.responses.add(newResponse(200));
    assertEquals(getText(forward(RequestKind.IDEMPOTENT)), BODY);
    assertEquals(relay.requests.get(0).excludedTargets(), Set.of());
    assertEquals(relay.requests.get(1).excludedTargets(), Set.of(new InstanceId("one")));
  }

  @Test(dataProvider = "failedRelays")
  public void entryTriesNoTargetThatAnotherEntryTried(Flux<ResponsePart> response) {
    targets.remove(2);
    reachability.isIsolated = true;
    relay.targets.add("one");
    relay.responses.clear();
    relay.responses.add(
        Flux.defer(
            () -> {
              reachability.isIsolated = false;
              return response;
            }));
    assertEquals(getText(forward(RequestKind.IDEMPOTENT)), BODY);
    assertEquals(triedTargets, List.of("two"));
  }

  @Test(dataProvider = "failedRelays")
  public void lookupEndsWhereAnotherEntryDoesNotTellItsTargets(Flux<ResponsePart> response) {
    reachability.isIsolated = true;
    relay.isTelling = false;
    relay.responses.clear();
    relay.responses.add(response);
    relay.responses.add(newResponse(200));
    try {
      List<ResponsePart> parts = forward(RequestKind.IDEMPOTENT);
      assertEquals(((ResponsePart.Head) parts.get(0)).response().status(), 500);
    } catch (ForwardException e) {
      assertEquals(e.getOutcome(), Outcome.UNKNOWN);
    }
    assertEquals(relay.requests.size(), 1);
    assertEquals(triedTargets, List.of());
  }

  @Test
  public void lookupEndsIfAnEntryIsLostBeforeItToldEachTarget() {
    reachability.isIsolated = true;
    relay.isLost = true;
    relay.responses.clear();
    relay.responses.add(newRelayFailure(Outcome.UNKNOWN));
    Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, Duration.ofSeconds(2), 4);
    RoutedRequest request = ForwardFixtures.newRequest("id", route, System.nanoTime());
    expectThrows(ForwardException.class, () -> forwarder.forward(request).blockLast());
    assertEquals(relay.requests.size(), 1);
    assertEquals(relay.requests.get(0).maxAttempts(), 3);
  }

  @Test
  public void streamGoesOnAtItsTargetIfOnlyItsEntryIsLost() {
    reachability.isIsolated = true;
    relay.isLost = true;
    relay.targets.add("one");
    relay.responses.clear();
    relay.responses.add(newEvents(1, 2).concatWith(newRelayFailure(Outcome.UNKNOWN)));
    relay.responses.add(newEvents(3, 4));
    assertEquals(
        getText(forward(RequestKind.STREAM)), getText(newEvents(1, 4).collectList().block()));
    assertEquals(relay.requests.get(1).excludedTargets(), Set.of());
  }

  @Test
  public void relayedRequestTellsItsTargets() {
    respondWith(Flux.error(newLostException()));
    RelayedAttempts attempts = new RelayedAttempts();
    RelayedRequest plain = newRelayed(RequestKind.IDEMPOTENT, 2, "one");
    forwardRelayedInVain(
        new RelayedRequest(
            plain.routed(),
            plain.remaining(),
            plain.lastEventId(),
            plain.maxAttempts(),
            plain.excludedTargets(),
            attempts,
            plain.retryPermit()));
    assertEquals(attempts.getTargets().stream().map(InstanceId::value).toList(), triedTargets);
    assertEquals(triedTargets.size(), 2);
  }

  private static AttemptException newRejection() {
    TargetAnswer response =
        new TargetAnswer(
            503,
            new DefaultHttpHeaders(),
            Optional.empty(),
            false,
            true,
            Optional.empty(),
            OptionalDouble.empty());
    return new RequestRejectedException("forward", "one", response);
  }

  private static RelayedRequest newRelayed(RequestKind kind, int maxAttempts, String... excluded) {
    Set<InstanceId> ids = new HashSet<>();
    for (String id : excluded) {
      ids.add(new InstanceId(id));
    }
    return new RelayedRequest(
        newRequest(kind), Duration.ofMillis(500), OptionalLong.empty(), maxAttempts, ids);
  }

  private ForwardException forwardRelayedInVain(RelayedRequest relayed) {
    return expectThrows(
        ForwardException.class, () -> forwarder.forwardRelayed(relayed).blockLast());
  }

  @Test
  public void relayedRequestIsForwardedWithinItsRemainingTime() {
    RelayedRequest relayed = newRelayed(RequestKind.NON_IDEMPOTENT, 1, "one", "two");
    assertEquals(getText(forwarder.forwardRelayed(relayed).collectList().block()), BODY);
    assertEquals(triedTargets, List.of("three"));
    assertTrue(remainingTimes.get(0).compareTo(relayed.remaining()) <= 0);
  }

  @Test
  public void relayedRequestIsNotRelayedAgain() {
    makeUnreachable();
    ForwardException error = forwardRelayedInVain(newRelayed(RequestKind.IDEMPOTENT, 2));
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    reachability.isIsolated = true;
    reachability.isImpaired = true;
    forwardRelayedInVain(newRelayed(RequestKind.IDEMPOTENT, 2));
    assertEquals(relay.requests, List.of());
  }

  @Test
  public void relayedRequestMakesNoMoreAttemptsThanGranted() {
    respondWith(Flux.error(newLostException()));
    ForwardException error = forwardRelayedInVain(newRelayed(RequestKind.IDEMPOTENT, 1));
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertEquals(triedTargets.size(), 1);
    triedTargets.clear();
    forwardRelayedInVain(newRelayed(RequestKind.IDEMPOTENT, 2));
    assertEquals(triedTargets.size(), 2);
  }

  @Test
  public void relayedRequestAddsNothingToTheRetryBudget() {
    forwarder = newForwarder(1, 0);
    respondWith(Flux.error(newLostException()));
    for (int i = 0; i < 5; i++) {
      forwardRelayedInVain(newRelayed(RequestKind.IDEMPOTENT, 2));
    }
    assertEquals(triedTargets.size(), 5);
  }

  @Test
  public void relayedStreamGoesOnAfterTheLastEvent() {
    respondWith(newEvents(1, 4));
    RelayedRequest relayed =
        new RelayedRequest(
            newRequest(RequestKind.STREAM),
            Duration.ofMillis(500),
            OptionalLong.of(2),
            1,
            Set.of());
    assertEquals(
        getText(forwarder.forwardRelayed(relayed).collectList().block()),
        getText(newEvents(3, 4).collectList().block()));
  }

  @Test
  public void impairedEntryTakesNoRequestsOfOthers() {
    assertTrue(canPlace());
    reachability.isImpaired = true;
    assertFalse(canPlace());
    ForwardException error = forwardRelayedInVain(newRelayed(RequestKind.NON_IDEMPOTENT, 1));
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(triedTargets, List.of());
  }

  @Test
  public void stoppingEntryTakesNoRequestsOfOthers() {
    forwarder.refuseRelayed();
    assertFalse(canPlace());
    ForwardException error = forwardRelayedInVain(newRelayed(RequestKind.NON_IDEMPOTENT, 1));
    assertEquals(error.getOutcome(), Outcome.NOT_RUN);
    assertEquals(triedTargets, List.of());
    assertEquals(getText(forward(RequestKind.NON_IDEMPOTENT)), BODY);
  }

  @Test
  public void entryWhoseTargetsAreFullTakesNoRequestsOfOthers() {
    targets.forEach(t -> placer.onLoad(t.id(), 1000, 1, 0));
    assertFalse(canPlace());
    targets.clear();
    assertFalse(canPlace());
  }

  private boolean canPlace() {
    return forwarder.canPlace(ForwardFixtures.SERVICE, "cards", false);
  }
}
