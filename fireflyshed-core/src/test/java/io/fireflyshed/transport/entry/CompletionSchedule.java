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
import io.fireflyshed.protocol.engine.EngineOrder;
import io.fireflyshed.protocol.engine.EngineRequest;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.protocol.engine.StreamChunk;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.MemberHealth;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Runs completions against an engine that fails at seeded steps, in virtual time, and checks what
 * the engine ran and what the callers got.
 */
public final class CompletionSchedule {

  /** Names deliberate mistakes of the code around a runner, which the checks must notice. */
  public enum Defect {
    NONE,
    CUT_TAKEN_AS_END,
    UNKNOWN_TOLD_AS_NOT_RUN,
    RESUMED_AT_START
  }

  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int REPLICAS = 4;
  private static final int REQUESTS = 3;
  private static final int MAX_TOKENS = 12;
  private static final Duration END = Duration.ofMinutes(20);

  /** What one caller saw. */
  private static final class Caller {
    final StringBuilder text = new StringBuilder();
    final int length;
    boolean isEnded;
    boolean isCancelled;
    Throwable error;

    Caller(int length) {
      this.length = length;
    }
  }

  private final UniformRandomProvider random;
  private final Defect defect;
  private final FaultPlan plan;
  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final Map<String, Caller> callers = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int active;

  CompletionSchedule(long seed, Defect defect) {
    this(seed, defect, FaultPlan.ofAll());
  }

  /** Creates a schedule with the faults of a plan. */
  public CompletionSchedule(long seed, Defect defect, FaultPlan plan) {
    this.plan = plan;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.defect = defect;
  }

  /** Runs the schedule and gets what went wrong, empty if all is well. */
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
              RetryPolicy.ofDefaults(RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong())),
              new PoisonGuard(
                  new PoisonList(PoisonSettings.ofDefaults()),
                  new LonePeerBus(new PeerId("p")),
                  () -> time.now(TimeUnit.NANOSECONDS)));
      for (int i = 0; i < REQUESTS; i++) {
        start(runner, "req" + i);
      }
      time.advanceTimeBy(END);
    } finally {
      VirtualTimeScheduler.reset();
    }
    callers.forEach(this::check);
    if (active != 0) {
      violations.add(active + " attempts still run after the end");
    }
    return violations;
  }

  private void start(CompletionRunner runner, String id) {
    Caller caller = new Caller(1 + random.nextInt(MAX_TOKENS));
    callers.put(id, caller);
    Disposable stream =
        runner
            .run(newRequest(caller.length), id, Context.root())
            .subscribe(
                chunk -> {
                  caller.text.append(StandardCharsets.UTF_8.decode(chunk.frames().duplicate()));
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

  /** Gets a view in which some replicas are not open. */
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
    StringBuilder whole = new StringBuilder();
    for (int i = 0; i < caller.length; i++) {
      whole.append(newText(id, i));
    }
    if (!whole.toString().startsWith(caller.text.toString())) {
      violations.add(id + " got a mixed answer: " + caller.text);
    }
    if (caller.isEnded && !whole.toString().contentEquals(caller.text)) {
      violations.add(id + " got a truncated answer: " + caller.text);
    }
    if (!caller.isEnded && caller.error == null && !caller.isCancelled) {
      violations.add(id + " got neither the end nor an error");
    }
    if (caller.isEnded && caller.error != null) {
      violations.add(id + " got an error after the end");
    }
    if (caller.error != null && !(caller.error instanceof ProblemException)) {
      violations.add(id + " got " + caller.error);
    }
    if (caller.error instanceof ProblemException e
        && e.getProblem().outcome() == Outcome.NOT_RUN
        && runs.containsKey(id)) {
      violations.add(id + " ran but was told as not run");
    }
  }

  private static String newText(String id, long offset) {
    return id + ":" + offset + ";";
  }

  /** Computes answers, counts the requests that it ran and fails at any step. */
  private final class FaultyEngine implements ModelEngine {

    @Override
    public CompletableFuture<MemberHealth> probe(InstanceRecord instance) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<LoadReport> readLoad(InstanceRecord instance) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> order(InstanceRecord instance, EngineOrder order) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Flux<StreamChunk> stream(EngineRequest request) {
      return Flux.defer(() -> newAttempt(request))
          .doOnSubscribe(s -> active++)
          .doFinally(s -> active--);
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
      runs.merge(request.requestId(), 1, Integer::sum);
      List<StreamChunk> chunks = newChunks(request);
      boolean isBroken = plan.strikes(step, FaultKind.TARGET_BREAKS, fault < 7);
      int cut = isBroken ? random.nextInt(chunks.size() + 1) : chunks.size();
      List<StreamChunk> sent = shuffle(step, chunks.subList(0, cut));
      Flux<StreamChunk> paced =
          Flux.fromIterable(sent).concatMap(c -> Mono.delay(newPause(step)).thenReturn(c));
      return isBroken ? paced.concatWith(newBreak(request, cut)) : paced;
    }

    private Duration newPause(String step) {
      boolean isLong = plan.strikes(step, FaultKind.TARGET_STALLS, random.nextInt(60) == 0);
      return Duration.ofMillis(isLong ? 15_000 : random.nextInt(200));
    }

    private List<StreamChunk> newChunks(EngineRequest request) {
      int length = callers.get(request.requestId()).length;
      List<StreamChunk> chunks = new ArrayList<>();
      long from = defect == Defect.RESUMED_AT_START ? 0 : request.offset();
      long shift = request.offset() - from;
      long offset = from;
      while (offset < length) {
        int tokens = (int) Math.min(1 + random.nextInt(3), length - offset);
        chunks.add(newChunk(request, offset, tokens, shift));
        offset += tokens;
      }
      chunks.add(new StreamChunk(length + shift, 0, ByteBuffer.allocate(0), true));
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

    /** Repeats some chunks and swaps others with their neighbours. */
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

    private Flux<StreamChunk> newBreak(EngineRequest request, int cut) {
      if (defect == Defect.CUT_TAKEN_AS_END) {
        long end = request.offset() + cut;
        return Flux.just(new StreamChunk(end, 0, ByteBuffer.allocate(0), true));
      }
      return switch (random.nextInt(3)) {
        case 0 -> Flux.empty();
        case 1 -> Flux.never();
        default -> Flux.error(newLost(cut > 0 ? Outcome.RAN : Outcome.UNKNOWN));
      };
    }

    private AttemptException newLost(Outcome outcome) {
      Outcome told = newError(outcome).getOutcome();
      return new TargetLostException("stream", "engine", told, "lost", null);
    }

    private AttemptException newError(Outcome outcome) {
      Outcome told = defect == Defect.UNKNOWN_TOLD_AS_NOT_RUN ? Outcome.NOT_RUN : outcome;
      return new AttemptException("stream", "engine", told, "broken", null);
    }
  }
}
