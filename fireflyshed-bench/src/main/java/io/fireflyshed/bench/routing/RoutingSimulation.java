package io.fireflyshed.bench.routing;

import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.replica.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/** Runs a fleet of engine models under a policy in simulated time. */
final class RoutingSimulation {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long REPORT_INTERVAL_NANOS = SECOND;
  private static final long REPORT_DELAY_NANOS = 2 * SECOND;
  private static final long MIN_CHANGE_DELAY_NANOS = SECOND;
  private static final long MAX_CHANGE_DELAY_NANOS = 5 * SECOND;
  private static final double CHANGE_LOSS = 0.1;
  private static final double WARM_UP = 0.3;
  private static final double MICROS = 1e3;

  /** The figures of a run. */
  record Result(Histogram ttftMicros, double hitRate, double answeredPerSecond) {}

  private record Event(long dueNanos, long sequence, Runnable action) {}

  private final ManualClock clock;
  private final UniformRandomProvider rng;
  private final Workload workload;
  private final List<EngineModel> engines;
  private final List<ReplicaId> ids;
  private final int entries;
  private final Policy policy;
  private final long endNanos;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::sequence));
  private final Histogram ttftMicros = new Histogram(3);
  private long nextSequence;
  private long hitTokens;
  private long promptTokens;
  private long answered;
  private boolean isClosedLoop;

  RoutingSimulation(
      ManualClock clock,
      UniformRandomProvider rng,
      List<EngineModel> engines,
      List<ReplicaId> ids,
      int entries,
      Policy policy,
      Duration length) {
    this.clock = clock;
    this.rng = rng;
    this.workload = new Workload(rng, entries);
    this.engines = engines;
    this.ids = ids;
    this.entries = entries;
    this.policy = policy;
    this.endNanos = length.toNanos();
  }

  /** Runs with requests that arrive at random at a mean rate. */
  Result runOpen(double perSecond) {
    scheduleArrival(perSecond);
    scheduleReports();
    return run();
  }

  /** Runs with a constant number of requests in the fleet. */
  Result runClosed(int requestsPerEngine) {
    isClosedLoop = true;
    for (int i = 0; i < requestsPerEngine * engines.size(); i++) {
      schedule(0, this::arrive);
    }
    return run();
  }

  private Result run() {
    while (!events.isEmpty() && events.peek().dueNanos() < endNanos) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.dueNanos() - clock.nanoTime()));
      event.action().run();
    }
    double seconds = endNanos * (1 - WARM_UP) / SECOND;
    return new Result(ttftMicros, (double) hitTokens / promptTokens, answered / seconds);
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(clock.nanoTime() + delayNanos, nextSequence++, action));
  }

  private boolean isWarm(long nanos) {
    return nanos >= endNanos * WARM_UP;
  }

  private void scheduleArrival(double perSecond) {
    long gap = (long) (-Math.log(1 - rng.nextDouble()) * SECOND / perSecond);
    schedule(
        gap,
        () -> {
          arrive();
          scheduleArrival(perSecond);
        });
  }

  private void arrive() {
    SimulatedRequest request = workload.next(clock.nanoTime());
    int replica = policy.choose(request, clock.nanoTime());
    engines.get(replica).add(request);
    if (!engines.get(replica).isBusy()) {
      startStep(replica);
    }
  }

  private void startStep(int replica) {
    long nanos = engines.get(replica).startStep();
    if (nanos > 0) {
      schedule(nanos, () -> endStep(replica));
    }
  }

  private void endStep(int replica) {
    for (EngineModel.Job job : engines.get(replica).endStep()) {
      SimulatedRequest request = job.getRequest();
      policy.onToken(request, replica, clock.nanoTime());
      if (job.getProduced() == 1) {
        onFirstToken(job);
      }
      if (job.getProduced() == request.outputTokens()) {
        onAnswered(request, replica);
      }
    }
    startStep(replica);
  }

  private void onFirstToken(EngineModel.Job job) {
    SimulatedRequest request = job.getRequest();
    if (isWarm(request.arrivalNanos())) {
      ttftMicros.recordValue((long) ((clock.nanoTime() - request.arrivalNanos()) / MICROS));
      hitTokens += job.getCachedTokens();
      promptTokens += request.tokens();
    }
  }

  private void onAnswered(SimulatedRequest request, int replica) {
    policy.onEnd(request, replica);
    workload.onAnswered(request);
    answered += isWarm(clock.nanoTime()) ? 1 : 0;
    if (isClosedLoop) {
      schedule(0, this::arrive);
    }
  }

  private void scheduleReports() {
    long[][] lastDelivery = new long[engines.size()][entries];
    for (int i = 0; i < engines.size(); i++) {
      int replica = i;
      schedule(rng.nextLong(REPORT_INTERVAL_NANOS), () -> report(replica, lastDelivery[replica]));
    }
  }

  private void report(int replica, long[] lastDelivery) {
    int active = engines.get(replica).getActive();
    long measured = clock.nanoTime();
    ReplicaId id = ids.get(replica);
    List<CacheChange> changes = engines.get(replica).takeChanges();
    for (int i = 0; i < entries; i++) {
      int entry = i;
      schedule(REPORT_DELAY_NANOS, () -> policy.onLoad(entry, id, active, measured));
      long delay = rng.nextLong(MIN_CHANGE_DELAY_NANOS, MAX_CHANGE_DELAY_NANOS);
      lastDelivery[entry] = Math.max(lastDelivery[entry], measured + delay);
      List<CacheChange> received = new ArrayList<>(changes);
      received.removeIf(c -> rng.nextDouble() < CHANGE_LOSS);
      schedule(
          lastDelivery[entry] - measured,
          () -> policy.onChanges(entry, id, received, clock.nanoTime()));
    }
    schedule(REPORT_INTERVAL_NANOS, () -> report(replica, lastDelivery));
  }
}
