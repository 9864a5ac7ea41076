package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;

import io.fireflyshed.coordination.cost.CostFixtures;
import io.fireflyshed.coordination.cost.ExpectedWorkCosts;
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
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.StepVerifier;

/** Tests that a caller that reads slowly gets each event of a resumed stream once. */
public class StreamDeliveryTest {

  private static final int EVENTS = 5;
  private static final int EVENTS_BEFORE_STALL = 3;

  /** Longer than the silence after which a stream is resumed elsewhere. */
  private static final Duration STALL = Duration.ofSeconds(2);

  private final List<OptionalLong> resumedAfter = new CopyOnWriteArrayList<>();
  private Flux<ResponsePart> goesOn;
  private int endBeforeStall;
  private ExpectedWorkCosts costs;

  /** Starts with a first attempt that stalls for good. */
  @BeforeMethod
  public void setUp() {
    resumedAfter.clear();
    goesOn = Flux.empty();
    endBeforeStall = EVENTS_BEFORE_STALL;
    costs = new ExpectedWorkCosts(() -> Optional.of(CostFixtures.newConfiguration("m")), 0);
  }

  /** Sends the events at once; the first attempt stalls before the last one. */
  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    resumedAfter.add(lastEventId);
    StringBuilder events = new StringBuilder();
    boolean isFirst = resumedAfter.size() == 1;
    int end = isFirst ? endBeforeStall : EVENTS;
    for (long i = lastEventId.orElse(0) + 1; i <= end; i++) {
      events.append(event(i));
    }
    Flux<ResponsePart> parts =
        Flux.just(
            ForwardFixtures.newHead(routed.request().id(), 200),
            ForwardFixtures.newBodyChunk(events.toString()));
    return isFirst ? parts.concatWith(goesOn).concatWith(Flux.never()) : parts;
  }

  private Forwarder newForwarder() {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    return new Forwarder(
        ForwardFixtures.newView(
            List.of(ForwardFixtures.newTarget("one"), ForwardFixtures.newTarget("two")),
            () -> true),
        new TargetPlacer(
            placement,
            ForwardFixtures.ZONE,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            ForwardFixtures.newSchedule(),
            costs),
        new StallDetector(placement),
        this::send,
        new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 10),
        ForwardFixtures.newCrashGuard(),
        MonotonicClock.system(),
        stalledTarget -> {},
        new SimpleMeterRegistry());
  }

  @Test
  public void eventsThatWaitForTheCallerAreNotSentAgain() {
    Route route = ForwardFixtures.newRoute(RequestKind.STREAM, true, Duration.ofSeconds(8));
    StringBuilder body = new StringBuilder();
    Forwarder forwarder = newForwarder();
    forwarder.start();
    StepVerifier.create(
            forwarder.forward(ForwardFixtures.newRequest("id", route, System.nanoTime())), 2)
        .expectNextCount(1)
        .consumeNextWith(part -> append(body, part))
        .expectNoEvent(STALL)
        .then(() -> assertEquals(resumedAfter, List.of(OptionalLong.empty())))
        .thenRequest(10)
        .thenConsumeWhile(part -> true, part -> append(body, part))
        .expectComplete()
        .verify(Duration.ofSeconds(10));
    forwarder.stop();
    assertEquals(body.toString(), event(1) + event(2) + event(3) + event(4) + event(5));
    assertEquals(resumedAfter, List.of(OptionalLong.empty(), OptionalLong.of(EVENTS_BEFORE_STALL)));
  }

  @Test
  public void streamThatWentOnWhileItsCallerDidNotReadIsResumedLater() {
    goesOn = Mono.delay(STALL).map(t -> ForwardFixtures.newBodyChunk(event(3) + event(4))).flux();
    endBeforeStall = 2;
    Route route = ForwardFixtures.newRoute(RequestKind.STREAM, true, Duration.ofSeconds(8));
    StringBuilder body = new StringBuilder();
    Forwarder forwarder = newForwarder();
    forwarder.start();
    StepVerifier.create(
            forwarder.forward(ForwardFixtures.newRequest("id", route, System.nanoTime())), 2)
        .expectNextCount(1)
        .consumeNextWith(part -> append(body, part))
        .expectNoEvent(STALL.plusMillis(500))
        .thenRequest(10)
        .thenConsumeWhile(part -> true, part -> append(body, part))
        .expectComplete()
        .verify(Duration.ofSeconds(10));
    forwarder.stop();
    assertEquals(body.toString(), event(1) + event(2) + event(3) + event(4) + event(5));
    assertEquals(resumedAfter, List.of(OptionalLong.empty(), OptionalLong.of(4)));
    for (String target : List.of("one", "two")) {
      InstanceId id = ForwardFixtures.newTarget(target).id();
      assertEquals(costs.getOwnWorkMillis(id).orElseThrow(), 0.0, "work left at " + target);
    }
    assertEquals(costs.getStatistics().getSamples(), 2, "first events");
  }

  private static String event(long id) {
    return "id: " + id + "\ndata: token\n\n";
  }

  private static void append(StringBuilder body, ResponsePart part) {
    body.append(new String(((ResponsePart.BodyChunk) part).bytes(), StandardCharsets.UTF_8));
  }
}
