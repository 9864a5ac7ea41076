package io.fireflyshed.transport.forward;

import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import reactor.core.publisher.Flux;

/** Forwards requests with a fake relay and three targets whose responses a test sets. */
abstract class RelayForwardingTestBase {

  static final String BODY = "done";
  static final Duration RETRY_AFTER = Duration.ofMillis(777);

  /** Tells the forwarder what the test sets. */
  static final class FakeReachability implements Reachability {
    boolean isIsolated;
    boolean isImpaired;
    int failures;
    int signs;

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
  static final class FakeRelay implements RequestRelay {
    final List<RelayedRequest> requests = new ArrayList<>();
    final Deque<String> targets = new ArrayDeque<>();
    boolean isTelling = true;
    boolean isLost;
    final Deque<Flux<ResponsePart>> responses = new ArrayDeque<>();
    boolean isAvailable = true;

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

  final Map<String, Flux<ResponsePart>> responses = new HashMap<>();
  final List<String> triedTargets = new ArrayList<>();
  final List<Duration> remainingTimes = new ArrayList<>();
  final List<Target> targets = new ArrayList<>();
  FakeReachability reachability;
  FakeRelay relay;
  ForwardFixtures.FakeCrashGuard crashGuard;
  TargetPlacer placer;
  Forwarder forwarder;

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

  Forwarder newForwarder(double retryRatio, int maxRetries) {
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

  Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    triedTargets.add(target.id().value());
    remainingTimes.add(remaining);
    return responses.getOrDefault(target.id().value(), newResponse(200));
  }

  static Flux<ResponsePart> newResponse(int status) {
    return Flux.just(ForwardFixtures.newHead("id", status), ForwardFixtures.newBodyChunk(BODY));
  }

  static Flux<ResponsePart> newEvents(int first, int last) {
    List<ResponsePart> parts = new ArrayList<>();
    parts.add(ForwardFixtures.newHead("id", 200));
    for (int i = first; i <= last; i++) {
      parts.add(ForwardFixtures.newBodyChunk("id: " + i + "\ndata: x\n\n"));
    }
    return Flux.fromIterable(parts);
  }

  static Flux<ResponsePart> newRelayFailure(Outcome outcome) {
    return Flux.error(new ForwardException("relay", "peer", "failed", outcome, RETRY_AFTER, false));
  }

  void respondWith(Flux<ResponsePart> response) {
    targets.forEach(t -> responses.put(t.id().value(), response));
  }

  void makeUnreachable() {
    respondWith(
        Flux.error(new TargetUnreachableException("forward", "peer", "no connection", null)));
  }

  static AttemptException newLostException() {
    return new ConnectionLostException("forward", "peer", "reset", null);
  }

  static RoutedRequest newRequest(RequestKind kind) {
    Route route = ForwardFixtures.newRoute(kind, kind == RequestKind.STREAM, Duration.ofSeconds(2));
    return ForwardFixtures.newRequest("id", route, System.nanoTime());
  }

  List<ResponsePart> forward(RequestKind kind) {
    return forwarder.forward(newRequest(kind)).collectList().block();
  }

  ForwardException forwardInVain(RequestKind kind) {
    return expectThrows(ForwardException.class, () -> forward(kind));
  }

  static String getText(List<ResponsePart> parts) {
    StringBuilder text = new StringBuilder();
    for (ResponsePart part : parts) {
      if (part instanceof ResponsePart.BodyChunk chunk) {
        text.append(new String(chunk.bytes(), StandardCharsets.UTF_8));
      }
    }
    return text.toString();
  }

  /** Returns parts and then loses the connection at the moment at which the entry is cut off. */
  Flux<ResponsePart> newLossThatIsolates(Flux<ResponsePart> parts) {
    return newFailureThatIsolates(parts, newLostException());
  }

  Flux<ResponsePart> newFailureThatIsolates(Flux<ResponsePart> parts, AttemptException error) {
    return parts.concatWith(
        Flux.defer(
            () -> {
              reachability.isIsolated = true;
              return Flux.error(error);
            }));
  }

  static RelayedRequest newRelayed(RequestKind kind, int maxAttempts, String... excluded) {
    Set<InstanceId> ids = new HashSet<>();
    for (String id : excluded) {
      ids.add(new InstanceId(id));
    }
    return new RelayedRequest(
        newRequest(kind), Duration.ofMillis(500), OptionalLong.empty(), maxAttempts, ids);
  }

  ForwardException forwardRelayedInVain(RelayedRequest relayed) {
    return expectThrows(
        ForwardException.class, () -> forwarder.forwardRelayed(relayed).blockLast());
  }
}
