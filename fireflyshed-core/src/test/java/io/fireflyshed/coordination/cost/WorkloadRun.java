package io.fireflyshed.coordination.cost;

import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.RequestRun;
import io.fireflyshed.coordination.placement.TargetCosts;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.placement.TargetRating;
import io.fireflyshed.coordination.placement.TargetState;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Plays requests of very different sizes on engines with continuous batching in virtual time. */
final class WorkloadRun {

  /** The ways to place requests. */
  enum Policy {
    LEAST_REQUESTS,
    LEAST_WORK,
    EXPECTED_FIRST_EVENT,
    TWO_CHOICES_OF_REQUESTS,
    TWO_CHOICES_OF_FIRST_EVENT;

    private boolean isOfTwo() {
      return this == TWO_CHOICES_OF_REQUESTS || this == TWO_CHOICES_OF_FIRST_EVENT;
    }
  }

  /** What callers say of their outputs. */
  enum Estimates {
    MEDIAN_RIGHT(0, 0.5),
    FIVE_TIMES_TOO_LARGE(Math.log(5), 0.5),
    HEAVY_TAILED(0, 1.5),
    HOSTILE(0, 0);

    private final double logBias;
    private final double logDeviation;

    Estimates(double logBias, double logDeviation) {
      this.logBias = logBias;
      this.logDeviation = logDeviation;
    }
  }

  /** A load. */
  record Load(
      int entries,
      int replicas,
      double utilization,
      double swing,
      boolean isLongBurst,
      Estimates estimates,
      double slowFactor,
      Duration reportPeriod) {}

  /** What callers got of one size class: 0 is short. */
  record Result(List<Double> firstEventMillis, int late) {
    double getQuantile(double q) {
      List<Double> sorted = firstEventMillis.stream().sorted().toList();
      return sorted.get((int) Math.min(sorted.size() - 1.0, q * sorted.size()));
    }

    double getLateShare() {
      return (double) late / firstEventMillis.size();
    }
  }

  private static final String POOL = "model";
  private static final EngineTimes TIMES =
      EngineTimes.find(CostFixtures.newConfiguration(), POOL).orElseThrow();
  private static final int STRIDE = TIMES.profile().stepsPerPass();
  private static final int SLOTS = TIMES.profile().slots();
  private static final double LATENCY_TARGET_MILLIS = 400;
  private static final double REFUSED_MILLIS = 2000;
  private static final long REPORT_DELAY_NANOS = Duration.ofMillis(120).toNanos();
  private static final long WARMUP_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long WAVE_NANOS = Duration.ofSeconds(8).toNanos();

  private record Event(long nanos, long order, Runnable action) {}

  /** A request at an engine. */
  private final class Job {
    private final RequestDescriptor request;
    private final TargetPlacer placer;
    private final RequestRun run;
    private final int outputEvents;
    private final long arrivalNanos = clock.nanoTime();
    private double unread;
    private int events;
    private long lastNanos;

    Job(RequestDescriptor request, TargetPlacer placer, RequestRun run, int outputEvents) {
      this.request = request;
      this.placer = placer;
      this.run = run;
      this.outputEvents = outputEvents;
      this.unread = request.promptTokens();
    }
  }

  /** An engine. */
  private final class Replica {
    private final Target target;
    private final double slowFactor;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private boolean isBusy;

    Replica(Target target, double slowFactor) {
      this.target = target;
      this.slowFactor = slowFactor;
    }

    void add(Job job) {
      waiting.add(job);
      if (!isBusy) {
        pass();
      }
    }

    /** Starts a pass: a step for each writer as often as the stride, and a piece of a prompt. */
    private void pass() {
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        running.add(waiting.remove());
      }
      isBusy = !running.isEmpty();
      if (!isBusy) {
        return;
      }
      List<Job> writers = running.stream().filter(j -> j.unread == 0).toList();
      double millis = TIMES.getStepMillis() * (writers.isEmpty() ? 1 : STRIDE);
      for (Job job : writers) {
        double context = job.request.promptTokens() + job.events * STRIDE;
        millis += STRIDE * TIMES.getSequenceMillis(context);
      }
      double budget = (double) TIMES.profile().prefillChunkTokens() * STRIDE;
      List<Job> progressed = new ArrayList<>(writers);
      for (Job job : running) {
        if (job.unread > 0 && budget > 0) {
          double before = job.request.promptTokens() - job.unread;
          double read = Math.min(budget, job.unread);
          millis += TIMES.getPrefillMillis(before + read) - TIMES.getPrefillMillis(before);
          budget -= read;
          job.unread -= read;
          if (job.unread == 0) {
            progressed.add(job);
          }
        }
      }
      at((long) (millis * slowFactor * 1e6), () -> endPass(progressed));
    }

    private void endPass(List<Job> progressed) {
      long now = clock.nanoTime();
      for (Job job : progressed) {
        job.events++;
        job.run.onEvents(job.events, now);
        if (job.events == 1) {
          record(job.request, (now - job.arrivalNanos) / 1e6, job.arrivalNanos);
          int requests = running.size() + waiting.size();
          job.placer.onLoad(target.id(), requests, SLOTS, now);
        } else {
          job.placer.onProgress(target.id(), Duration.ofNanos(now - job.lastNanos));
        }
        job.lastNanos = now;
        if (job.events >= job.outputEvents) {
          running.remove(job);
          job.run.onEnd(true, now);
          job.placer.onEnd(POOL, target.id(), now);
        }
      }
      pass();
    }
  }

  private final Load load;
  private final Policy policy;
  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparing(Event::order));
  private final UniformRandomProvider random;
  private final UniformRandomProvider choices;
  private final List<Replica> replicas = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  private final List<TargetPlacer> placers = new ArrayList<>();
  private final List<ExpectedWorkCosts> costs = new ArrayList<>();
  private final List<Result> results = new ArrayList<>();
  private long order;
  private Duration latencyTarget = Duration.ofMillis((long) LATENCY_TARGET_MILLIS);

  WorkloadRun(Load load, Policy policy, long seed) {
    this.load = load;
    this.policy = policy;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    choices = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1_000_000);
    for (int i = 0; i < load.replicas; i++) {
      targets.add(
          new Target(
              new InstanceId("t" + i),
              new ServiceName("s"),
              InetSocketAddress.createUnresolved("127.0.0.1", 1),
              new AvailabilityZone("z" + i % 3),
              false,
              SLOTS,
              1,
              Optional.empty()));
      replicas.add(new Replica(targets.get(i), i == 0 ? load.slowFactor : 1));
    }
    for (int i = 0; i < load.entries; i++) {
      ExpectedWorkCosts own =
          new ExpectedWorkCosts(() -> Optional.of(CostFixtures.newConfiguration()), 0.03);
      costs.add(own);
      placers.add(newPlacer(own, i, seed));
    }
    for (int i = 0; i < 3; i++) {
      results.add(new Result(new ArrayList<>(), 0));
    }
    at(load.reportPeriod.toNanos(), this::report);
  }

  private TargetPlacer newPlacer(ExpectedWorkCosts own, int number, long seed) {
    PlacementSettings settings = PlacementSettings.ofDefaults();
    AvailabilityZone zone = new AvailabilityZone("z" + number % 3);
    UniformRandomProvider placerRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + number);
    EntrySchedule schedule = new EntrySchedule(0, 1, new SharedClock(clock));
    return switch (policy) {
      case LEAST_REQUESTS, TWO_CHOICES_OF_REQUESTS ->
          new TargetPlacer(settings, zone, placerRandom, schedule);
      case LEAST_WORK ->
          new TargetPlacer(settings, zone, placerRandom, schedule, new LeastWork(own));
      case EXPECTED_FIRST_EVENT, TWO_CHOICES_OF_FIRST_EVENT ->
          new TargetPlacer(settings, zone, placerRandom, schedule, own);
    };
  }

  /** Rates targets by the work that they still have to do, whatever their state. */
  private record LeastWork(ExpectedWorkCosts costs) implements TargetCosts {
    @Override
    public Duration getMaxFleetLoadAge() {
      return costs.getMaxFleetLoadAge();
    }

    @Override
    public double countUnseenStarts(RequestDescriptor request, double startsPerSecond, long age) {
      return costs.countUnseenStarts(request, startsPerSecond, age);
    }

    @Override
    public Rater newRater(RequestDescriptor request, long nowNanos) {
      double work = costs.getExpectedWorkMillis(request);
      return (target, state) -> new TargetRating(getWork(target, state, work), work, false);
    }

    private double getWork(Target target, TargetState state, double work) {
      double others = state.othersWorkMillis().orElse(state.othersInFlight() * work);
      return costs.getOwnWorkMillis(target.id()).orElseThrow() + others + work;
    }

    @Override
    public RequestRun newRun(RequestDescriptor request, InstanceId target, long eventsBefore) {
      return costs.newRun(request, target, eventsBefore);
    }

    @Override
    public double getExpectedWorkMillis(RequestDescriptor request) {
      return costs.getExpectedWorkMillis(request);
    }

    @Override
    public OptionalDouble getOwnWorkMillis(InstanceId target) {
      return costs.getOwnWorkMillis(target);
    }

    @Override
    public OptionalDouble getExpectedMillis(InstanceId target) {
      return costs.getExpectedMillis(target);
    }

    @Override
    public void retain(Set<InstanceId> listed) {}

    @Override
    public void reset(InstanceId target) {}
  }

  private void at(long delayNanos, Runnable action) {
    queue.add(new Event(clock.nanoTime() + delayNanos, order++, action));
  }

  private void report() {
    long now = clock.nanoTime();
    List<FleetLoad> reports =
        placers.stream().map(p -> p.takeOwnLoad(Set.of(), Set.of(), now)).toList();
    FleetLoad total = reports.stream().reduce(FleetLoad.NONE, FleetLoad::plus);
    at(
        REPORT_DELAY_NANOS,
        () -> {
          for (int i = 0; i < placers.size(); i++) {
            placers.get(i).onFleetLoad(total, reports.get(i), now);
          }
        });
    at(load.reportPeriod.toNanos(), this::report);
  }

  /** Sends requests without a latency target, so that none is refused for being late. */
  WorkloadRun withoutLatencyTarget() {
    latencyTarget = Duration.ZERO;
    return this;
  }

  /** Plays the load; the first seconds aren't counted. */
  WorkloadRun run(Duration length) {
    scheduleArrival();
    while (clock.nanoTime() < length.toNanos()) {
      Event event = queue.poll();
      clock.advance(Duration.ofNanos(event.nanos() - clock.nanoTime()));
      event.action().run();
    }
    return this;
  }

  private void scheduleArrival() {
    double wave = 1 + load.swing * Math.sin(2 * Math.PI * clock.nanoTime() / WAVE_NANOS);
    double usualWork = 0;
    for (int i = 0; i < CostFixtures.SIZES.length; i++) {
      int[] size = CostFixtures.SIZES[i];
      double tokens = size[1] * STRIDE;
      double perToken =
          TIMES.getStepMillis() / SLOTS + TIMES.getSequenceMillis(size[0] + tokens / 2);
      double work = TIMES.getPrefillMillis(size[0]) + tokens * perToken;
      usualWork += work / CostFixtures.SIZES.length;
    }
    double rate = load.utilization * load.replicas / usualWork * 1000 * wave;
    at(
        (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9),
        () -> {
          arrive();
          scheduleArrival();
        });
  }

  private void arrive() {
    long now = clock.nanoTime();
    boolean isBurst = load.isLongBurst && now / 1_000_000_000 % 5 == 0;
    int drawn = random.nextInt(CostFixtures.SIZES.length);
    int kind = isBurst && random.nextInt(4) == 0 ? CostFixtures.SIZES.length - 1 : drawn;
    int[] size = CostFixtures.SIZES[kind];
    int outputEvents = Math.max(1, (int) (size[1] * (0.5 + random.nextDouble())));
    double deviation = nextGaussian() * load.estimates.logDeviation + load.estimates.logBias;
    double hostile = 1 + random.nextInt(5000);
    int estimate =
        load.estimates == Estimates.HOSTILE
            ? (int) hostile
            : Math.max(1, (int) (outputEvents * STRIDE * Math.exp(deviation)));
    RequestDescriptor request =
        CostFixtures.newRequest("r" + kind % 3, size[0], OptionalInt.of(estimate), latencyTarget);
    TargetPlacer placer = placers.get(random.nextInt(placers.size()));
    List<Target> candidates =
        policy.isOfTwo() ? List.of(pick(), pick()).stream().distinct().toList() : targets;
    if (placer.place(request, candidates, Set.of(), now) instanceof Placement.Send send) {
      RequestRun run = placer.getCosts().newRun(request, send.target().id(), 0);
      placer.onStart(send.target().id());
      run.onStart(now);
      replicas.get(targets.indexOf(send.target())).add(new Job(request, placer, run, outputEvents));
    } else {
      record(request, REFUSED_MILLIS, now);
    }
  }

  private Target pick() {
    return targets.get(choices.nextInt(targets.size()));
  }

  private double nextGaussian() {
    double sum = 0;
    for (int i = 0; i < 12; i++) {
      sum += random.nextDouble();
    }
    return sum - 6;
  }

  private void record(RequestDescriptor request, double millis, long arrivalNanos) {
    if (arrivalNanos < WARMUP_NANOS) {
      return;
    }
    int tokens = request.promptTokens();
    int sizeClass = tokens < 300 ? 0 : tokens < 1500 ? 1 : 2;
    Result result = results.get(sizeClass);
    result.firstEventMillis.add(millis);
    int late = result.late + (millis > LATENCY_TARGET_MILLIS ? 1 : 0);
    results.set(sizeClass, new Result(result.firstEventMillis, late));
  }

  /** Returns what the requests of a size class got. */
  Result getResult(int sizeClass) {
    return results.get(sizeClass);
  }

  /** Returns what all requests got. */
  Result getResult() {
    List<Double> all = new ArrayList<>();
    results.forEach(r -> all.addAll(r.firstEventMillis));
    return new Result(all, results.stream().mapToInt(Result::late).sum());
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(policy.toString());
    Result all = getResult();
    text.append(
        String.format(
            " n %d p50 %.0f p99 %.0f late %.3f;",
            all.firstEventMillis.size(),
            all.getQuantile(0.5),
            all.getQuantile(0.99),
            all.getLateShare()));
    for (Result r : results) {
      text.append(
          String.format(
              " [p50 %.0f p99 %.0f late %.3f]",
              r.getQuantile(0.5), r.getQuantile(0.99), r.getLateShare()));
    }
    return text.append(String.format(" error x%.2f", costs.get(0).getStatistics().getErrorFactor()))
        .toString();
  }
}
