package io.fireflyshed.transport.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests in virtual time that long responses arrive whole or end with an error, directly and through
 * another entry.
 */
public class LongResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration INTERVAL = Duration.ofMillis(100);
  private static final String ID = "request";
  private static final int CHUNK_BYTES = 10_000;

  /** The chunks of a response that is longer than what is held and than the time of its attempt. */
  private static final int CHUNKS = 20;

  /** The response of a caller. */
  private static final class Caller {
    private int heads;
    private long bytes;
    private boolean isComplete;
    private Throwable error;

    Caller(Flux<ResponsePart> response) {
      response.subscribe(this::onPart, e -> error = e, () -> isComplete = true);
    }

    private void onPart(ResponsePart part) {
      if (part instanceof ResponsePart.BodyChunk chunk) {
        bytes += chunk.bytes().length;
      } else {
        heads++;
      }
    }

    void assertWhole(long expectedBytes) {
      assertNull(error);
      assertTrue(isComplete);
      assertEquals(bytes, expectedBytes);
      assertEquals(heads, 1);
    }

    void assertBroken(long expectedBytes) {
      assertFalse(isComplete, "the response looks whole");
      assertTrue(error instanceof ForwardException, "error " + error);
      assertEquals(bytes, expectedBytes);
      assertEquals(heads, 1);
    }
  }

  /** Tells an entry whether it reaches its targets. */
  private static final class FixedReachability implements Reachability {
    private final boolean isIsolated;

    FixedReachability(boolean isIsolated) {
      this.isIsolated = isIsolated;
    }

    @Override
    public void onFailure(InstanceId target) {}

    @Override
    public void onSilent(InstanceId target) {}

    @Override
    public void onSignOfLife() {}

    @Override
    public boolean isIsolated() {
      return isIsolated;
    }

    @Override
    public boolean isImpaired() {
      return isIsolated;
    }
  }

  /** Passes requests to the entry that reaches the targets. */
  private final class OtherEntry implements RequestRelay {
    @Override
    public Flux<ResponsePart> relay(RelayedRequest request) {
      return other.forwardRelayed(request);
    }

    @Override
    public boolean isAvailable() {
      return true;
    }
  }

  private VirtualTimeScheduler scheduler;
  private Flux<ResponsePart> response;
  private int attempts;
  private int running;
  private Forwarder other;
  private Forwarder isolated;

  /** Starts an entry that reaches two targets and one that reaches only the first entry. */
  @BeforeMethod
  public void setUp() {
    scheduler = VirtualTimeScheduler.getOrSet();
    attempts = 0;
    running = 0;
    other = newForwarder(Reachability.always(), RequestRelay.none());
    isolated = newForwarder(new FixedReachability(true), new OtherEntry());
  }

  /** Checks that no attempt was left running. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    try {
      scheduler.advanceTimeBy(TIMEOUT.multipliedBy(2));
      other.stop();
      isolated.stop();
      assertEquals(running, 0, "attempts that still run");
    } finally {
      VirtualTimeScheduler.reset();
    }
  }

  private Forwarder newForwarder(Reachability reachability, RequestRelay relay) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    Forwarder forwarder =
        new Forwarder(
            ForwardFixtures.newView(
                List.of(ForwardFixtures.newTarget("one"), ForwardFixtures.newTarget("two")),
                () -> true),
            new TargetPlacer(
                placement,
                ForwardFixtures.ZONE,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                ForwardFixtures.newSchedule()),
            new StallDetector(placement),
            this::send,
            new ServiceRetryBudgets(0, Duration.ofSeconds(10), () -> 10),
            ForwardFixtures.newCrashGuard(),
            this::nanoTime,
            stalledTarget -> {},
            new SimpleMeterRegistry(),
            reachability,
            relay,
            ByteBudget.unlimited(this::nanoTime));
    forwarder.start();
    return forwarder;
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private Flux<ResponsePart> send(
      Target target, RoutedRequest routed, Duration remaining, OptionalLong lastEventId) {
    attempts++;
    return response.doOnSubscribe(s -> running++).doFinally(s -> running--);
  }

  private Caller call(RequestKind kind, boolean isRelayed) {
    Forwarder forwarder = isRelayed ? isolated : other;
    Caller caller =
        new Caller(
            forwarder.forward(
                ForwardFixtures.newRequest(
                    ID, ForwardFixtures.newRoute(kind, false, TIMEOUT), nanoTime())));
    scheduler.advanceTimeBy(TIMEOUT.multipliedBy(2));
    return caller;
  }

  /** Returns a head, and chunks in intervals. */
  private static Flux<ResponsePart> newResponse(int chunks) {
    return Flux.concat(
        Mono.just(ForwardFixtures.newHead(ID, 200)),
        Flux.interval(INTERVAL)
            .take(chunks)
            .onBackpressureBuffer()
            .map(n -> new ResponsePart.BodyChunk(new byte[CHUNK_BYTES])));
  }

  private static Flux<ResponsePart> newLoss() {
    return Flux.error(new ConnectionLostException("forward", "peer", "reset", null));
  }

  /** Provides the kinds of requests with one response, directly and through another entry. */
  @DataProvider
  public Object[][] ways() {
    List<Object[]> ways = new ArrayList<>();
    for (RequestKind kind : List.of(RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)) {
      ways.add(new Object[] {kind, false});
      ways.add(new Object[] {kind, true});
    }
    return ways.toArray(new Object[0][]);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatOutlastsItsAttemptIsWhole(RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS);
    call(kind, isRelayed).assertWhole(CHUNKS * CHUNK_BYTES);
    assertEquals(attempts, 1);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatBreaksOffLateEndsWithAnError(RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS).concatWith(newLoss());
    call(kind, isRelayed).assertBroken(CHUNKS * CHUNK_BYTES);
    assertEquals(attempts, 1);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatNeverEndsEndsWithAnErrorAtItsTimeout(
      RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS).concatWith(Flux.never());
    Caller caller = call(kind, isRelayed);
    caller.assertBroken(CHUNKS * CHUNK_BYTES);
    assertTrue(((ForwardException) caller.error).isTimeout(), "error " + caller.error);
    assertEquals(attempts, 1);
  }

  /** Returns a response whose body may have another length than it states. */
  private static Flux<ResponsePart> newResponse(int statedBytes, int chunks) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, statedBytes);
    return Flux.concat(
        Mono.just(ForwardFixtures.newHead(ID, 200, headers)),
        Flux.range(0, chunks).map(n -> new ResponsePart.BodyChunk(new byte[CHUNK_BYTES])));
  }

  @Test(dataProvider = "ways")
  public void longResponseThatIsShorterThanItStatesEndsWithAnError(
      RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS * CHUNK_BYTES + 1, CHUNKS);
    call(kind, isRelayed).assertBroken(CHUNKS * CHUNK_BYTES);
    assertEquals(attempts, 1);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatIsLongerThanItStatesEndsWithAnError(
      RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS * CHUNK_BYTES - 1, CHUNKS);
    call(kind, isRelayed).assertBroken((CHUNKS - 1) * CHUNK_BYTES);
    assertEquals(attempts, 1);
  }

  @Test(dataProvider = "ways")
  public void shortResponseThatIsShorterThanItStatesIsNotPassedOn(
      RequestKind kind, boolean isRelayed) {
    response = newResponse(2 * CHUNK_BYTES, 1);
    Caller caller = call(kind, isRelayed);
    assertTrue(caller.error instanceof ForwardException, "the response looks whole");
    assertEquals(caller.heads, 0);
    assertEquals(attempts, kind == RequestKind.IDEMPOTENT ? ForwardFixtures.MAX_ATTEMPTS : 1);
  }

  @Test(dataProvider = "ways")
  public void responseThatStatesItsLengthIsWhole(RequestKind kind, boolean isRelayed) {
    response = newResponse(CHUNKS * CHUNK_BYTES, CHUNKS);
    call(kind, isRelayed).assertWhole(CHUNKS * CHUNK_BYTES);
  }

  @Test(dataProvider = "ways")
  public void longResponseThatExceedsItsLimitEndsWithAnError(RequestKind kind, boolean isRelayed) {
    int chunks = (4 << 20) / CHUNK_BYTES;
    ResponsePart chunk = new ResponsePart.BodyChunk(new byte[CHUNK_BYTES]);
    response =
        Flux.concat(
            Mono.just(ForwardFixtures.newHead(ID, 200)), Flux.just(chunk).repeat(2L * chunks));
    call(kind, isRelayed).assertBroken((long) chunks * CHUNK_BYTES);
    assertEquals(attempts, 1);
  }
}
