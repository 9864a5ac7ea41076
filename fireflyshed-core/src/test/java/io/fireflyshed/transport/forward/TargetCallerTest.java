package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.protocol.traffic.TrafficCodec;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.Rank;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.fireflyshed.transport.http.ConnectionReuse;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests what {@link TargetCaller} sends to targets. */
public class TargetCallerTest {

  private static final String REMAINING = "x-left";
  private static final String PRIORITY = "x-first";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CONNECTION_TIME = Duration.ofMillis(700);

  /** Encodes the remaining time and the priority only. */
  private static final class RemainingTimeCodec implements TrafficCodec {
    @Override
    public TrafficRequest decodeRequest(HttpMethod method, String uri, HttpHeaders headers) {
      throw new UnsupportedOperationException("no caller sends a request in this test");
    }

    @Override
    public HttpHeaders newTargetHeaders(
        TrafficRequest request,
        Target target,
        Optional<String> account,
        Duration remainingTime,
        OptionalLong lastEventId) {
      return new DefaultHttpHeaders().add(REMAINING, remainingTime.toMillis());
    }

    @Override
    public void addPriority(HttpHeaders headers, int priority) {
      headers.set(PRIORITY, priority);
    }

    @Override
    public TargetAnswer decodeAnswer(int status, HttpHeaders headers) {
      return ((ResponsePart.Head) ForwardFixtures.newHead("id", status)).response();
    }

    @Override
    public HttpHeaders newCallerHeaders(TargetAnswer response) {
      throw new UnsupportedOperationException("no caller gets a response in this test");
    }
  }

  @Test
  public void targetIsToldThePriorityOnlyWhereRanksOfTheServiceDiffer() {
    Route first = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, true, TIMEOUT);
    Route later =
        new Route(
            "later",
            first.host(),
            "/later/",
            first.kind(),
            TIMEOUT,
            TIMEOUT,
            first.priority() + 3,
            first.services(),
            1,
            first.isPublic(),
            false);
    ServiceRanks ranks = ServiceRanks.of(List.of(first, later), List.of(), true);
    assertEquals(receivePriorities(ranks), List.of(List.of("0"), List.of("3")));
    assertEquals(receivePriorities(ServiceRanks.NONE), List.of(List.of(), List.of()));
  }

  /** Sends requests of two ranks, which get a connection after a while, to a target. */
  private static List<List<String>> receivePriorities(ServiceRanks ranks) {
    List<List<String>> received = new CopyOnWriteArrayList<>();
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) -> {
                  received.add(request.requestHeaders().getAll(PRIORITY));
                  return response.send();
                })
            .bindNow();
    try (TargetCaller caller =
        new TargetCaller(
            new RemainingTimeCodec(),
            CONNECTION_TIME::toNanos,
            () -> ranks,
            new ConnectionReuse(MonotonicClock.system()))) {
      Target target = ForwardFixtures.newTarget("one", (InetSocketAddress) server.address());
      Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, true, TIMEOUT);
      for (int rank : List.of(0, 3)) {
        RoutedRequest routed = ForwardFixtures.newRequest("id", route, 0).withRank(new Rank(rank));
        caller.send(target, routed, TIMEOUT, OptionalLong.of(7)).collectList().block(TIMEOUT);
      }
    } finally {
      server.disposeNow();
    }
    return received;
  }

  @Test
  public void targetIsHandedTheTimeThatIsLeftOnceItIsConnected() {
    List<String> received = new CopyOnWriteArrayList<>();
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) -> {
                  received.addAll(request.requestHeaders().getAll(REMAINING));
                  return response.send();
                })
            .bindNow();
    try (TargetCaller caller =
        new TargetCaller(new RemainingTimeCodec(), CONNECTION_TIME::toNanos)) {
      Target target = ForwardFixtures.newTarget("one", (InetSocketAddress) server.address());
      for (RequestKind kind : RequestKind.values()) {
        Route route = ForwardFixtures.newRoute(kind, true, TIMEOUT);
        RoutedRequest routed = ForwardFixtures.newRequest("id", route, 0);
        caller.send(target, routed, TIMEOUT, OptionalLong.empty()).collectList().block(TIMEOUT);
      }
    } finally {
      server.disposeNow();
    }
    assertEquals(received, List.of("1300", "1300", "1300"));
  }

  @Test
  public void targetThatCanNotBeConnectedIsNotNamedToAnotherEntry() {
    DisposableServer closed =
        HttpServer.create().host("127.0.0.1").port(0).handle((q, r) -> r.send()).bindNow();
    closed.disposeNow();
    List<String> told = new CopyOnWriteArrayList<>();
    RelayListener listener =
        new RelayListener() {
          @Override
          public void onAttempt(InstanceId target) {
            told.add(target.value());
          }

          @Override
          public void onEnd(Outcome outcome) {
            told.add(outcome.name());
          }
        };
    MonotonicClock clock = MonotonicClock.system();
    PlacementSettings placement = PlacementSettings.ofDefaults();
    try (TargetCaller caller = new TargetCaller(new RemainingTimeCodec(), clock)) {
      Forwarder forwarder =
          new Forwarder(
              ForwardFixtures.newView(
                  List.of(ForwardFixtures.newTarget("one", (InetSocketAddress) closed.address())),
                  () -> true),
              new TargetPlacer(
                  placement,
                  ForwardFixtures.ZONE,
                  RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                  ForwardFixtures.newSchedule()),
              new StallDetector(placement),
              caller,
              new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 10),
              ForwardFixtures.newCrashGuard(),
              clock,
              stalledTarget -> {},
              new SimpleMeterRegistry(),
              Reachability.always(),
              RequestRelay.none(),
              ByteBudget.unlimited(clock));
      Route route = ForwardFixtures.newRoute(RequestKind.IDEMPOTENT, false, TIMEOUT);
      RoutedRequest routed = ForwardFixtures.newRequest("id", route, clock.nanoTime());
      RelayedRequest request =
          new RelayedRequest(
              routed, TIMEOUT, OptionalLong.empty(), 1, Set.of(), listener, () -> true);
      expectThrows(ForwardException.class, () -> forwarder.forwardRelayed(request).blockLast());
    }
    assertEquals(told, List.of());
  }
}
