package io.fireflyshed.transport.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonSettings;
import io.fireflyshed.coordination.retry.RetryBudget;
import io.fireflyshed.coordination.retry.RetryPolicy;
import io.fireflyshed.coordination.retry.RetrySettings;
import io.fireflyshed.coordination.routing.LeastInFlightRouter;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.trace.RequestTracer;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.context.Context;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests {@link CompletionRunner} in virtual time with replicas that fall silent and go on. */
public class SilentReplicaTest {

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int REPLICAS = 3;
  private static final Duration MAX_RUN_TIME = Duration.ofMinutes(2);

  /** A silence that is longer than the timeout for the next token. */
  private static final Duration SILENCE = Duration.ofSeconds(15);

  /** Answers successive attempts with prepared chunks. */
  private final class ScriptedEngine implements StreamingEngine {
    private final List<Flux<StreamChunk>> answers = new ArrayList<>();
    private final List<EngineRequest> requests = new ArrayList<>();
    private int running;

    @Override
    public Flux<StreamChunk> stream(EngineRequest request) {
      Flux<StreamChunk> answer = answers.get(requests.size());
      requests.add(request);
      return answer.doOnSubscribe(s -> running++).doFinally(s -> running--);
    }
  }

  private final List<Long> offsets = new ArrayList<>();
  private VirtualTimeScheduler time;
  private ScriptedEngine engine;
  private CompletionRunner runner;
  private int allowedRetries;
  private Throwable error;
  private boolean isComplete;

  /** Creates a runner with three replicas in virtual time. */
  @BeforeMethod
  public void setUp() {
    time = VirtualTimeScheduler.create();
    VirtualTimeScheduler.set(time);
    engine = new ScriptedEngine();
    offsets.clear();
    error = null;
    isComplete = false;
    allowedRetries = 10;
    ServingView view = ViewFixtures.newView(SERVICE, REPLICAS);
    runner =
        new CompletionRunner(
            () -> view,
            new LeastInFlightRouter(),
            engine,
            new RequestTracer(OpenTelemetry.noop()),
            this::nanoTime,
            StreamSettings.of(MAX_RUN_TIME),
            new RetryPolicy(
                RetrySettings.ofDefaults(),
                new RetryBudget(0, Duration.ofSeconds(10), () -> allowedRetries),
                this::nanoTime,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
            new PoisonGuard(
                new PoisonList(PoisonSettings.ofDefaults()),
                new LonePeerBus(new PeerId("p")),
                this::nanoTime));
  }

  /** Ends all requests, checks that no attempt is left and restores real time. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    try {
      time.advanceTimeBy(MAX_RUN_TIME);
      assertEquals(engine.running, 0, "attempts that still run");
    } finally {
      VirtualTimeScheduler.reset();
    }
  }

  private long nanoTime() {
    return time.now(TimeUnit.NANOSECONDS);
  }

  private static Flux<StreamChunk> after(Duration delay, long offset, boolean isEnd) {
    return Flux.defer(
        () ->
            Mono.delay(delay)
                .map(t -> new StreamChunk(offset, 1, ByteBuffer.allocate(0), isEnd))
                .flux());
  }

  /** Returns an answer of two tokens with a silence between them. */
  private static Flux<StreamChunk> silentAnswer() {
    return after(Duration.ofSeconds(1), 0, false).concatWith(after(SILENCE, 1, true));
  }

  private Disposable start() {
    CompletionRequest request =
        CompletionRequest.parse(
            CompletionKind.TEXT,
            "{\"model\":\"cards\",\"prompt\":\"p\"}".getBytes(StandardCharsets.UTF_8));
    return runner
        .run(request, "req", Context.root())
        .subscribe(chunk -> offsets.add(chunk.offset()), e -> error = e, () -> isComplete = true);
  }

  private void assertWhole() {
    assertEquals(error, null);
    assertEquals(offsets, List.of(0L, 1L));
    assertTrue(isComplete);
  }

  /** Provides answers of a replica that is to take over and doesn't. */
  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {"rejects", newFailure(Outcome.NOT_RUN)},
      {"fails", newFailure(Outcome.UNKNOWN)},
      {
        "is lost",
        Flux.<StreamChunk>error(
            new TargetLostException("stream", "engine", Outcome.UNKNOWN, "lost", null))
      },
      {"is silent", Flux.<StreamChunk>never()},
      {"ends early", Flux.<StreamChunk>empty()}
    };
  }

  private static Flux<StreamChunk> newFailure(Outcome outcome) {
    return Flux.error(new AttemptException("stream", "engine", outcome, "broken", null));
  }

  @Test(dataProvider = "failures")
  public void silentCompletionGoesOnAtItsReplicaIfItsSuccessorsFail(
      String name, Flux<StreamChunk> failure) {
    engine.answers.addAll(List.of(silentAnswer(), failure, failure));
    start();
    time.advanceTimeBy(MAX_RUN_TIME);
    assertWhole();
    assertTrue(engine.requests.size() > 1, name);
  }

  @Test
  public void silentCompletionIsLeftAtItsReplicaIfTheBudgetDeniesARetry() {
    allowedRetries = 0;
    engine.answers.add(silentAnswer());
    start();
    time.advanceTimeBy(MAX_RUN_TIME);
    assertWhole();
  }

  @Test
  public void silentCompletionIsResumedAtAnotherReplica() {
    engine.answers.add(after(Duration.ofSeconds(1), 0, false).concatWith(Flux.never()));
    engine.answers.add(after(Duration.ofSeconds(1), 1, true));
    start();
    time.advanceTimeBy(Duration.ofSeconds(14));
    assertWhole();
    assertEquals(engine.requests.get(1).offset(), 1);
    assertEquals(new HashSet<>(engine.requests).size(), 2);
    assertEquals(engine.running, 0);
  }

  @Test
  public void replicaThatGoesOnFirstCompletesTheAnswer() {
    engine.answers.add(
        after(Duration.ofSeconds(1), 0, false)
            .concatWith(after(Duration.ofSeconds(12), 1, false))
            .concatWith(after(Duration.ofSeconds(3), 2, true)));
    engine.answers.add(after(Duration.ofSeconds(4), 1, true));
    start();
    time.advanceTimeBy(MAX_RUN_TIME);
    assertEquals(error, null);
    assertEquals(offsets, List.of(0L, 1L, 2L));
  }

  @Test
  public void bothAttemptsEndIfTheCallerLeaves() {
    engine.answers.addAll(List.of(Flux.never(), Flux.never()));
    Disposable caller = start();
    time.advanceTimeBy(Duration.ofSeconds(32));
    assertEquals(engine.running, 2);
    caller.dispose();
    assertEquals(engine.running, 0);
  }
}
