package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.simple.RandomSource;
import org.reactivestreams.Subscription;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests what {@link Forwarder} holds of responses, and what callers get of those it can't hold. */
public class ResponseMemoryTest {

  private static final int CHUNK_BYTES = 32 << 10;
  private static final int CHUNKS = 100;

  /** What may be read of a response that is not taken: what is held, and some parts. */
  private static final int MAX_READ_CHUNKS = HeldResponse.MAX_HELD_BYTES / CHUNK_BYTES + 10;

  private final AtomicInteger readChunks = new AtomicInteger();
  private final AtomicBoolean isCallerBlocked = new AtomicBoolean();
  private final List<InstanceId> sent = new CopyOnWriteArrayList<>();
  private final Set<InstanceId> stalled = ConcurrentHashMap.newKeySet();
  private ByteBudget budget;
  private Forwarder forwarder;
  private Flux<ResponsePart> response;

  /** A caller that takes as many parts as it is told. */
  private static final class Caller extends BaseSubscriber<ResponsePart> {
    private final List<ResponsePart> parts = new CopyOnWriteArrayList<>();

    @Override
    protected void hookOnSubscribe(Subscription subscription) {}

    @Override
    protected void hookOnNext(ResponsePart part) {
      parts.add(part);
    }
  }

  /** Creates a forwarder with three targets. */
  @BeforeMethod
  public void setUp() {
    readChunks.set(0);
    isCallerBlocked.set(false);
    sent.clear();
    stalled.clear();
    setCapacity(1 << 20);
  }

  private void setCapacity(long capacity) {
    budget = new ByteBudget(capacity, MonotonicClock.system(), ByteBudget.Listener.none());
    PlacementSettings placement = PlacementSettings.ofDefaults();
    List<Target> targets =
        List.of(
            ForwardFixtures.newTarget("one"),
            ForwardFixtures.newTarget("two"),
            ForwardFixtures.newTarget("three"));
    forwarder =
        new Forwarder(
            ForwardFixtures.newView(targets, () -> true),
            new TargetPlacer(
                placement,
                ForwardFixtures.ZONE,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                ForwardFixtures.newSchedule()),
            new StallDetector(placement),
            this::send,
            new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 100),
            ForwardFixtures.newCrashGuard(),
            MonotonicClock.system(),
            stalled::add,
            new SimpleMeterRegistry(),
            Reachability.always(),
            RequestRelay.none(),
            budget);
  }

  /** Checks that nothing is held after a request. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    forwarder.stop();
    assertEquals(budget.getUsed(), 0);
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    sent.add(target.id());
    return response;
  }

  private static Flux<ResponsePart> newHead(int status) {
    return Flux.just(ForwardFixtures.newHead("id", status));
  }

  /** Creates chunks that are made when they are requested. */
  private Flux<ResponsePart> newChunks(String text) {
    return Flux.<ResponsePart>generate(
            sink -> {
              readChunks.incrementAndGet();
              sink.next(ForwardFixtures.newBodyChunk(text));
            })
        .take(CHUNKS);
  }

  private static String newText() {
    return "x".repeat(CHUNK_BYTES);
  }

  private Flux<ResponsePart> forward(RequestKind kind) {
    Route route = ForwardFixtures.newRoute(kind, true, Duration.ofSeconds(10));
    CallerLink caller =
        new CallerLink() {
          @Override
          public Mono<Void> awaitReads() {
            return Mono.empty();
          }

          @Override
          public boolean isBlocked() {
            return isCallerBlocked.get();
          }
        };
    return forwarder.forward(ForwardFixtures.newRequest("id", route, System.nanoTime(), caller));
  }

  /** Provides the kinds of requests whose responses are not streams. */
  @DataProvider
  public Object[][] plainKinds() {
    return new Object[][] {{RequestKind.IDEMPOTENT}, {RequestKind.NON_IDEMPOTENT}};
  }

  /** Guards against long responses that together exhaust the memory of an entry. */
  @Test(dataProvider = "plainKinds")
  public void longResponseIsReadOnlyAsFastAsItsCallerTakesIt(RequestKind kind) {
    response = newHead(200).concatWith(newChunks(newText()));
    Caller caller = new Caller();
    forward(kind).subscribe(caller);
    caller.request(1);
    assertEquals(caller.parts.size(), 1);
    assertTrue(readChunks.get() <= MAX_READ_CHUNKS, readChunks + " chunks were read");
    caller.request(Long.MAX_VALUE);
    assertEquals(caller.parts.size(), CHUNKS + 1);
  }

  @Test
  public void eventsAreReadOnlyAsFastAsTheirCallerTakesThem() {
    response = newHead(200).concatWith(newChunks("id: 1\ndata: x\n\n".replace("id: 1\n", "")));
    Caller caller = new Caller();
    forward(RequestKind.STREAM).subscribe(caller);
    caller.request(2);
    assertEquals(caller.parts.size(), 2);
    assertTrue(readChunks.get() <= MAX_READ_CHUNKS, readChunks + " chunks were read");
    caller.cancel();
  }

  @Test(dataProvider = "plainKinds")
  public void longResponseThatBreaksOffIsNotReplaced(RequestKind kind) {
    response =
        newHead(200)
            .concatWith(newChunks(newText()))
            .concatWith(Flux.error(new ConnectionLostException("forward", "peer", "reset", null)));
    List<ResponsePart> parts = new ArrayList<>();
    ForwardException error =
        expectThrows(ForwardException.class, () -> forward(kind).doOnNext(parts::add).blockLast());
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertEquals(parts.size(), CHUNKS + 1);
    assertEquals(sent.size(), 1, "sent to " + sent);
  }

  @Test
  public void shortResponseThatBreaksOffIsReplaced() {
    response =
        newHead(200)
            .concatWith(Flux.just(ForwardFixtures.newBodyChunk("half")))
            .concatWith(Flux.error(new ConnectionLostException("forward", "peer", "reset", null)));
    expectThrows(ForwardException.class, () -> forward(RequestKind.IDEMPOTENT).blockLast());
    assertTrue(sent.size() > 1, "sent to " + sent);
  }

  /** Provides the kinds of requests that other targets may answer after an error. */
  @DataProvider
  public Object[][] retryableKinds() {
    return new Object[][] {{RequestKind.IDEMPOTENT}, {RequestKind.STREAM}};
  }

  @Test(dataProvider = "retryableKinds")
  public void longErrorIsReplacedOrEndsAsAnErrorOfTheEntry(RequestKind kind) {
    response = newHead(500).concatWith(newChunks(newText()));
    ForwardException error = expectThrows(ForwardException.class, () -> forward(kind).blockLast());
    assertEquals(error.getOutcome(), Outcome.RAN);
    assertTrue(sent.size() > 1, "sent to " + sent);
    assertTrue(readChunks.get() <= sent.size() * MAX_READ_CHUNKS, readChunks + " chunks were read");
  }

  @Test
  public void unfinishedEventForWhichThereIsNoRoomEndsTheAttempt() {
    setCapacity(200_000);
    response = newHead(200).concatWith(newChunks(newText()));
    ForwardException error =
        expectThrows(ForwardException.class, () -> forward(RequestKind.STREAM).blockLast());
    assertEquals(error.getOutcome(), Outcome.UNKNOWN);
    assertTrue(readChunks.get() <= sent.size() * 10, readChunks + " chunks were read");
  }

  @Test
  public void streamWhoseCallerDoesNotReadHasNotStalled() {
    response = newHead(200).concatWith(newChunks("data: x\n\n")).concatWith(Flux.never());
    isCallerBlocked.set(true);
    forwarder.start();
    Caller caller = new Caller();
    forward(RequestKind.STREAM).subscribe(caller);
    caller.request(2);
    Mono.delay(Duration.ofMillis(2500)).block();
    assertEquals(stalled, Set.of());
    assertEquals(sent.size(), 1, "sent to " + sent);
    caller.cancel();
  }
}
