package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.poison.PoisonList;
import io.fireflyshed.coordination.poison.PoisonSettings;
import io.fireflyshed.coordination.retry.RetryPolicy;
import io.fireflyshed.coordination.routing.LeastInFlightRouter;
import io.fireflyshed.faults.FaultKind;
import io.fireflyshed.faults.FaultPlan;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.trace.RequestTracer;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.context.Context;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Runs completions in virtual time against an engine that fails at random steps, and checks what
 * the engine ran and what the callers received. The seed determines the schedule.
 */
public final class CompletionSchedule {

  /** A defect injected into the engine, which the checks must detect. */
  public enum Defect {
    /** No defect. */
    NONE,
    /** Reports a stream that broke off as complete. */
    BREAK_REPORTED_AS_END,
    /** Reports every attempt that fails with an error as not run. */
    UNKNOWN_REPORTED_AS_NOT_RUN,
    /** Sends the text from the start of the answer when an attempt resumes at a later offset. */
    RESUMED_AT_START
  }

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int REPLICAS = 4;
  private static final int REQUESTS = 3;
  private static final int MAX_TOKENS = 12;
  private static final Duration DURATION = Duration.ofMinutes(20);

  /** A caller, the length of the answer that it requested and what it received. */
  private static final class Caller {
    final StringBuilder receivedText = new StringBuilder();
    final int answerTokens;
    boolean isEnded;
    boolean isCancelled;
    Throwable error;

    Caller(int answerTokens) {
      this.answerTokens = answerTokens;
    }
  }

  private final UniformRandomProvider random;
  private final Defect defect;
  private final FaultPlan plan;
  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final Map<String, Caller> callers = new HashMap<>();
  private final Map<String, Integer> runsByRequest = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int activeAttempts;

  CompletionSchedule(long seed, Defect defect) {
    this(seed, defect, FaultPlan.ofAll());
  }

  /** Creates a schedule that injects only the faults of a plan. */
  public CompletionSchedule(long seed, Defect defect, FaultPlan plan) {
    this.plan = plan;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and returns the violations that the checks found. */
  public List<String> run() {
    VirtualTimeScheduler.set(time);
    try {
      CompletionRunner runner =
          new CompletionRunner(
              this::newView,
              new LeastInFlightRouter(),
              new FaultyEngine(),
              new RequestTracer(OpenTelemetry.noop()),
              () -> time.now(TimeUnit.NANOSECONDS),
              StreamSettings.ofDefaults(),
              RetryPolicy.ofDefaults(
                  () -> time.now(TimeUnit.NANOSECONDS),
                  RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong())),
              new PoisonGuard(
                  new PoisonList(PoisonSettings.ofDefaults()),
                  new LonePeerBus(new PeerId("p")),
                  () -> time.now(TimeUnit.NANOSECONDS)));
      for (int i = 0; i < REQUESTS; i++) {
        start(runner, "req" + i);
      }
      time.advanceTimeBy(DURATION);
    } finally {
      VirtualTimeScheduler.reset();
    }
    callers.forEach(this::check);
    if (activeAttempts != 0) {
      violations.add(activeAttempts + " attempts were still running at the end of the schedule");
    }
    return violations;
  }

  private void start(CompletionRunner runner, String id) {
    Caller caller = new Caller(1 + random.nextInt(MAX_TOKENS));
    callers.put(id, caller);
    Disposable stream =
        runner
            .run(newRequest(caller.answerTokens), id, Context.root())
            .subscribe(
                chunk -> {
                  caller.receivedText.append(
                      StandardCharsets.UTF_8.decode(chunk.frames().duplicate()));
                  caller.isEnded |= chunk.isEnd();
                },
                e -> caller.error = e);
    if (plan.strikes("any", FaultKind.CALLER_LEAVES, random.nextInt(6) == 0)) {
      Mono.delay(Duration.ofMillis(random.nextInt(3000)))
          .subscribe(
              t -> {
                caller.isCancelled = true;
                stream.dispose();
              });
    }
  }

  private static CompletionRequest newRequest(int tokens) {
    String body = "{\"model\":\"cards\",\"prompt\":\"p\",\"max_tokens\":" + tokens + "}";
    return CompletionRequest.parse(CompletionKind.TEXT, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a view in which some replicas are not open. */
  private ServingView newView() {
    List<OpenReplica> open = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      if (!plan.strikes("route", FaultKind.MEMBER_DIES, random.nextInt(10) == 0)) {
        InstanceRecord head =
            new InstanceRecord(
                new InstanceId("i" + i),
                InetSocketAddress.createUnresolved("127.0.0.1", 1 + i),
                new AvailabilityZone("a"),
                new FabricDomain("f"),
                8,
                false,
                Optional.empty());
        Assignment replica = new Assignment(new ReplicaId("r" + i), SERVICE, 1, List.of(head));
        open.add(new OpenReplica(replica, Long.MAX_VALUE));
      }
    }
    return new ServingView(Map.of(), Map.of(SERVICE, open), Map.of());
  }

  private void check(String id, Caller caller) {
    StringBuilder completeText = new StringBuilder();
    for (int i = 0; i < caller.answerTokens; i++) {
      completeText.append(newText(id, i));
    }
    if (!completeText.toString().startsWith(caller.receivedText.toString())) {
      violations.add(
          id + " received text that is not a prefix of its answer: " + caller.receivedText);
    }
    if (caller.isEnded && !completeText.toString().contentEquals(caller.receivedText)) {
      violations.add(id + " received a truncated answer: " + caller.receivedText);
    }
    if (!caller.isEnded && caller.error == null && !caller.isCancelled) {
      violations.add(id + " received neither an end event nor an error");
    }
    if (caller.isEnded && caller.error != null) {
      violations.add(id + " received an error after the end event");
    }
    if (caller.error != null && !(caller.error instanceof ProblemException)) {
      violations.add(id + " received an error that is not a problem: " + caller.error);
    }
    if (caller.error instanceof ProblemException e
        && e.getProblem().outcome() == Outcome.NOT_RUN
        && runsByRequest.containsKey(id)) {
      violations.add(id + " ran but was reported as not run");
    }
  }

  private static String newText(String id, long offset) {
    return id + ":" + offset + ";";
  }

  /**
   * An engine that generates answers, counts its runs of each request and fails at random steps.
   */
  private final class FaultyEngine implements StreamingEngine {

    @Override
    public Flux<StreamChunk> stream(EngineRequest request) {
      return Flux.defer(() -> newAttempt(request))
          .doOnSubscribe(s -> activeAttempts++)
          .doFinally(s -> activeAttempts--);
    }

    private Flux<StreamChunk> newAttempt(EngineRequest request) {
      String step = request.offset() == 0 ? "first attempt" : "resumed attempt";
      int fault = random.nextInt(10);
      if (plan.strikes(step, FaultKind.TARGET_REFUSES, fault == 0)) {
        return Flux.error(newError(Outcome.NOT_RUN));
      }
      boolean isUnknown = fault == 1 && random.nextBoolean();
      if (plan.strikes(step, FaultKind.ANSWER_LOST, isUnknown)) {
        return Flux.error(newError(Outcome.UNKNOWN));
      }
      runsByRequest.merge(request.requestId(), 1, Integer::sum);
      List<StreamChunk> chunks = newChunks(request);
      boolean isBroken = plan.strikes(step, FaultKind.TARGET_BREAKS, fault < 7);
      int chunkCount = isBroken ? random.nextInt(chunks.size() + 1) : chunks.size();
      List<StreamChunk> sent = shuffle(step, chunks.subList(0, chunkCount));
      Flux<StreamChunk> delayedChunks =
          Flux.fromIterable(sent).concatMap(c -> Mono.delay(drawPause(step)).thenReturn(c));
      return isBroken ? delayedChunks.concatWith(newBreak(request, chunkCount)) : delayedChunks;
    }

    private Duration drawPause(String step) {
      boolean isStalled = plan.strikes(step, FaultKind.TARGET_STALLS, random.nextInt(60) == 0);
      return Duration.ofMillis(isStalled ? 15_000 : random.nextInt(200));
    }

    private List<StreamChunk> newChunks(EngineRequest request) {
      int answerTokens = callers.get(request.requestId()).answerTokens;
      List<StreamChunk> chunks = new ArrayList<>();
      long firstTextOffset = defect == Defect.RESUMED_AT_START ? 0 : request.offset();
      long shift = request.offset() - firstTextOffset;
      long offset = firstTextOffset;
      while (offset < answerTokens) {
        int tokens = (int) Math.min(1 + random.nextInt(3), answerTokens - offset);
        chunks.add(newChunk(request, offset, tokens, shift));
        offset += tokens;
      }
      chunks.add(new StreamChunk(answerTokens + shift, 0, ByteBuffer.allocate(0), true));
      return chunks;
    }

    private StreamChunk newChunk(EngineRequest request, long offset, int tokens, long shift) {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < tokens; i++) {
        text.append(newText(request.requestId(), offset + i));
      }
      ByteBuffer frames = ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
      return new StreamChunk(offset + shift, tokens, frames, false);
    }

    /** Duplicates some chunks and swaps others with their neighbours. */
    private List<StreamChunk> shuffle(String step, List<StreamChunk> chunks) {
      List<StreamChunk> sent = new ArrayList<>();
      for (StreamChunk chunk : chunks) {
        boolean isSwapped = !sent.isEmpty() && isDisordered(step);
        sent.add(isSwapped ? sent.size() - 1 : sent.size(), chunk);
        if (isDisordered(step)) {
          sent.add(chunk);
        }
      }
      return sent;
    }

    private boolean isDisordered(String step) {
      return plan.strikes(step, FaultKind.EVENTS_DISORDERED, random.nextInt(8) == 0);
    }

    private Flux<StreamChunk> newBreak(EngineRequest request, int chunkCount) {
      if (defect == Defect.BREAK_REPORTED_AS_END) {
        long end = request.offset() + chunkCount;
        return Flux.just(new StreamChunk(end, 0, ByteBuffer.allocate(0), true));
      }
      return switch (random.nextInt(3)) {
        case 0 -> Flux.empty();
        case 1 -> Flux.never();
        default -> Flux.error(newTargetLostError(chunkCount > 0 ? Outcome.RAN : Outcome.UNKNOWN));
      };
    }

    private AttemptException newTargetLostError(Outcome outcome) {
      Outcome reported = newError(outcome).getOutcome();
      return new TargetLostException("stream", "engine", reported, "lost", null);
    }

    private AttemptException newError(Outcome outcome) {
      Outcome reported = defect == Defect.UNKNOWN_REPORTED_AS_NOT_RUN ? Outcome.NOT_RUN : outcome;
      return new AttemptException("stream", "engine", reported, "broken", null);
    }
  }
}
