package io.fireflyshed.coordination.cost;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.RequestRun;
import io.fireflyshed.coordination.placement.TargetCosts;
import io.fireflyshed.coordination.placement.TargetRating;
import io.fireflyshed.coordination.placement.TargetState;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.TrafficConfiguration;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Rates targets by the expected time to the first event of a request, and by the work that the
 * target still has to do, which later requests wait for. Thread safe.
 */
public final class ExpectedWorkCosts implements TargetCosts {

  /** The most pools whose mean cost is kept. */
  private static final int MAX_POOLS = 256;

  /** The part of the work of a full target, in the work of one slot, that counts as cost. */
  private static final double BACKLOG_WEIGHT = 1;

  /**
   * The age from which the load that other entries told is no longer used. The older it is, the
   * more unseen starts it is corrected by, until all targets are chosen alike.
   */
  private static final Duration MAX_FLEET_LOAD_AGE = Duration.ofSeconds(5);

  /** Load that is added if all attempts at a target fail, as a multiple of its slots. */
  private static final double FAILURE_PENALTY = 2;

  private static final double MIN_COST_OF_REQUEST = 1e-3;

  /** Keeps learned times above 0, from which they couldn't grow again. */
  private static final double MIN_SERVICE_MILLIS = 1e-3;

  /** Keeps delays of a few microseconds from counting as the pace of a target. */
  private static final double MIN_PACE_MILLIS = 1;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Holds what the last rating of a target found. */
  private static final class LastRating {
    private int slots = 1;
    private double requests;

    /** The expected time of another request, without what it takes itself. */
    private double waitMillis;

    /** The factor by which the target is expected to need longer. */
    private double slowness = 1;

    private double expectedMillis;
  }

  private final EngineSource engines;
  private final double otherZonePenalty;
  private final CostEstimator estimator = new CostEstimator();
  private final PredictionStatistics statistics = new PredictionStatistics();
  private final TargetWork work = new TargetWork();
  private final PaceLearner paces = new PaceLearner();
  private final Map<String, PoolMeans> means = new HashMap<>();
  private final Map<InstanceId, LastRating> lastRatings = new HashMap<>();

  /**
   * Creates costs for which nothing is learned yet.
   *
   * @param configurations gets the newest configuration, empty until one is known, not null
   * @param otherZonePenalty the load that is added for a target in another zone, as a fraction of
   *     its slots
   */
  public ExpectedWorkCosts(
      Supplier<Optional<TrafficConfiguration>> configurations, double otherZonePenalty) {
    this.engines = new EngineSource(Objects.requireNonNull(configurations, "configurations"));
    this.otherZonePenalty = otherZonePenalty;
  }

  /**
   * Gets how far predictions are off.
   *
   * @return the statistics, never null
   */
  public PredictionStatistics getStatistics() {
    return statistics;
  }

  @Override
  public synchronized double getExpectedWorkMillis(RequestDescriptor request) {
    return estimate(request, findEngine(request), 1).getWorkMillis();
  }

  @Override
  public Duration getMaxFleetLoadAge() {
    return MAX_FLEET_LOAD_AGE;
  }

  @Override
  public synchronized double countUnseenStarts(
      RequestDescriptor request, double startsPerSecond, long ageNanos) {
    return getMeans(request, findEngine(request))
        .countStarted(startsPerSecond, ageNanos / NANOS_PER_MILLI);
  }

  @Override
  public synchronized Rater newRater(RequestDescriptor request, long nowNanos) {
    Optional<EngineTimes> engine = findEngine(request);
    WorkEstimate estimate = estimate(request, engine, 1);
    PoolMeans mean = getMeans(request, engine);
    double poolFactor = paces.getPoolFactor(request.pool());
    return (target, state) ->
        rate(request, engine, estimate, mean, poolFactor, target, state, nowNanos);
  }

  private synchronized TargetRating rate(
      RequestDescriptor request,
      Optional<EngineTimes> engine,
      WorkEstimate estimate,
      PoolMeans mean,
      double poolFactor,
      Target target,
      TargetState state,
      long nowNanos) {
    int slots = state.slots();
    // The work of a request of a plain service is shared by the slots of the target.
    double share = engine.isPresent() ? 1 : 1.0 / slots;
    double meanWork = mean.getWorkMillis() * share;
    TargetWork.Sums own = work.get(target.id());
    mean.addOthersRate(state.othersStartsPerSecond());
    double others = countOthers(state, own, mean);
    double requests = own.getRuns() + others;
    double othersWork = others * getOthersMean(state, meanWork);
    double allWork = own.getWorkMillis() + othersWork;
    double workOfRequest = requests == 0 ? meanWork : allWork / requests;
    double prefillShare =
        mean.getWorkMillis() > 0 ? mean.getPrefillMillis() / mean.getWorkMillis() : 0;
    double prefill = own.getPrefillMillis() + estimate.prefillMillis();
    double slotWait = Math.max(0, requests - slots + 1) * workOfRequest;
    double nominal =
        prefill
            + othersWork * prefillShare / slots
            + engine.map(e -> getPassWait(e, requests, prefill)).orElseGet(estimate::getWorkMillis)
            + slotWait
            + getMemoryWait(engine, estimate, mean, own, others, workOfRequest);
    double slowness = paces.getSlowness(request.pool(), target.id(), nowNanos);
    LastRating last = lastRatings.computeIfAbsent(target.id(), t -> new LastRating());
    last.slots = slots;
    last.requests = requests;
    last.waitMillis = nominal - getOwnMillis(engine, estimate);
    last.slowness = slowness * poolFactor;
    last.expectedMillis = nominal * last.slowness;
    double backlog = (allWork + estimate.getWorkMillis() * share) * BACKLOG_WEIGHT / slots;
    double zonePenalty = state.isOtherZone() ? otherZonePenalty * meanWork : 0;
    double failurePenalty = FAILURE_PENALTY * state.failureRate() * slots * meanWork;
    double costOfRequest =
        mean.getPrefillMillis()
            + meanWork * BACKLOG_WEIGHT / slots
            + (requests >= slots ? workOfRequest : 0);
    return new TargetRating(
        slowness * (nominal + backlog) + zonePenalty + failurePenalty,
        Math.max(MIN_COST_OF_REQUEST, slowness * costOfRequest),
        engine.isPresent() && requests >= slots && isLate(request, last.expectedMillis));
  }

  private static boolean isLate(RequestDescriptor request, double expectedMillis) {
    double targetMillis = request.latencyTarget().toNanos() / NANOS_PER_MILLI;
    return targetMillis > 0 && expectedMillis > targetMillis;
  }

  /**
   * Returns the expected number of requests of other entries: what is left of those that are known,
   * and what they usually start meanwhile.
   */
  private static double countOthers(TargetState state, TargetWork.Sums own, PoolMeans mean) {
    int known = Math.max(0, state.requests() - own.getRuns());
    if (state.ageNanos() == Long.MAX_VALUE) {
      return known;
    }
    double ageMillis = state.ageNanos() / NANOS_PER_MILLI;
    return known * mean.getRest(ageMillis)
        + mean.countStarted(mean.getOthersStartsPerSecond(), ageMillis);
  }

  private static double getOthersMean(TargetState state, double meanWork) {
    return state.othersInFlight() > 0 && state.othersWorkMillis().isPresent()
        ? state.othersWorkMillis().getAsDouble() / state.othersInFlight()
        : meanWork;
  }

  /** Returns the part of the expected time that the request takes itself, apart from passes. */
  private static double getOwnMillis(Optional<EngineTimes> engine, WorkEstimate estimate) {
    return engine.isPresent() ? estimate.prefillMillis() : estimate.getWorkMillis();
  }

  /** Returns the time that passes with the decoding of others before and between the reads. */
  private static double getPassWait(EngineTimes engine, double requests, double prefillMillis) {
    double readPerPass =
        engine.getPrefillMillis(engine.profile().prefillChunkTokens())
            * engine.profile().stepsPerPass();
    return requests == 0
        ? engine.getStepMillis()
        : engine.getPassMillis(requests) * (0.5 + prefillMillis / Math.max(1, readPerPass));
  }

  /** Returns the time until memory is free; a request that is too large for any waits as long. */
  private static double getMemoryWait(
      Optional<EngineTimes> engine,
      WorkEstimate estimate,
      PoolMeans mean,
      TargetWork.Sums own,
      double others,
      double workOfRequest) {
    long capacity = engine.map(e -> e.profile().context().memoryTokens()).orElse(0L);
    if (capacity == 0) {
      return 0;
    }
    double used = own.getMemoryTokens() + others * mean.getMemoryTokens();
    double lack = Math.min(used, used + estimate.memoryTokens() - capacity);
    return Math.max(0, lack) / Math.max(1, mean.getMemoryTokens()) * workOfRequest;
  }

  /** Finds the engine of a request; a plain service may have the name of a model. */
  private Optional<EngineTimes> findEngine(RequestDescriptor request) {
    return request.isModelPool() ? engines.get(request.pool()) : Optional.empty();
  }

  private WorkEstimate estimate(
      RequestDescriptor request, Optional<EngineTimes> engine, int slotsWithoutEngine) {
    int slots = engine.map(e -> e.profile().slots()).orElse(slotsWithoutEngine);
    return estimator.estimate(request, engine, slots);
  }

  private PoolMeans getMeans(RequestDescriptor request, Optional<EngineTimes> engine) {
    PoolMeans found = means.get(request.pool());
    if (found != null) {
      return found;
    }
    PoolMeans created = new PoolMeans();
    created.add(estimate(newUsualRequest(request, engine), engine, 1));
    if (means.size() < MAX_POOLS) {
      means.put(request.pool(), created);
    }
    return created;
  }

  private static RequestDescriptor newUsualRequest(
      RequestDescriptor request, Optional<EngineTimes> engine) {
    return new RequestDescriptor(
        request.route(),
        request.pool(),
        request.isModelPool(),
        request.rank(),
        Optional.empty(),
        engine.map(EngineTimes::getMeanPromptTokens).orElse(0),
        OptionalInt.empty(),
        0,
        0,
        request.latencyTarget());
  }

  @Override
  public RequestRun newRun(RequestDescriptor request, InstanceId target, long eventsBefore) {
    return new Run(request, target, eventsBefore);
  }

  @Override
  public synchronized OptionalDouble getOwnWorkMillis(InstanceId target) {
    return OptionalDouble.of(work.get(target).getWorkMillis());
  }

  @Override
  public synchronized OptionalDouble getExpectedMillis(InstanceId target) {
    LastRating last = lastRatings.get(target);
    return last == null ? OptionalDouble.empty() : OptionalDouble.of(last.expectedMillis);
  }

  @Override
  public synchronized void retain(Set<InstanceId> listed) {
    work.retain(listed);
    paces.retain(listed);
    lastRatings.keySet().retainAll(listed);
  }

  @Override
  public synchronized void reset(InstanceId target) {
    paces.reset(target);
  }

  /** Follows one attempt; its state is guarded by the lock of the costs. */
  private final class Run implements RequestRun {

    private final RequestDescriptor request;
    private final InstanceId target;
    private final long eventsBefore;
    private Optional<EngineTimes> engine = Optional.empty();
    private TargetWork.Item item;
    private boolean isEnded;
    private int events;
    private double requestsAtStart;
    private double serviceMillis;
    private double nominalMillis;
    private double expectedMillis;
    private long startNanos;
    private long eventNanos;

    Run(RequestDescriptor request, InstanceId target, long eventsBefore) {
      this.request = request;
      this.target = target;
      this.eventsBefore = eventsBefore;
    }

    @Override
    public void onStart(long nowNanos) {
      synchronized (ExpectedWorkCosts.this) {
        if (item != null || isEnded) {
          return;
        }
        LastRating last = lastRatings.getOrDefault(target, new LastRating());
        engine = findEngine(request);
        WorkEstimate whole = estimate(request, engine, 1);
        getMeans(request, engine).add(whole);
        serviceMillis = whole.getWorkMillis();
        // Another request may have been rated last.
        nominalMillis = last.waitMillis + getOwnMillis(engine, whole);
        expectedMillis = nominalMillis * last.slowness;
        requestsAtStart = last.requests;
        startNanos = nowNanos;
        double tokensBefore =
            engine.map(e -> (double) eventsBefore * e.profile().stepsPerPass()).orElse(0.0);
        item = work.start(target, estimate(request, engine, last.slots), tokensBefore);
      }
    }

    @Override
    public void onEvents(int newEvents, long nowNanos) {
      synchronized (ExpectedWorkCosts.this) {
        if (item == null || isEnded || newEvents <= events || engine.isEmpty()) {
          return;
        }
        if (events == 0) {
          statistics.add(expectedMillis, (nowNanos - startNanos) / NANOS_PER_MILLI);
        } else {
          double interval = (nowNanos - eventNanos) / NANOS_PER_MILLI / (newEvents - events);
          double expected = engine.get().getPassMillis(requestsAtStart + 1);
          paces.add(request.pool(), target, interval / expected, nowNanos);
        }
        events = newEvents;
        eventNanos = nowNanos;
        item.onTokens(getTokens());
      }
    }

    private double getTokens() {
      return (double) events * engine.orElseThrow().profile().stepsPerPass();
    }

    @Override
    public void onEnd(boolean isComplete, long nowNanos) {
      synchronized (ExpectedWorkCosts.this) {
        if (isEnded) {
          return;
        }
        isEnded = true;
        if (item == null) {
          return;
        }
        item.end();
        if (isComplete) {
          getMeans(request, engine).addRun((nowNanos - startNanos) / NANOS_PER_MILLI);
        }
        if (isComplete && engine.isPresent() && events > 0 && eventsBefore == 0) {
          estimator.onOutput(request, getTokens());
        } else if (isComplete && engine.isEmpty()) {
          onServiceEnd((nowNanos - startNanos) / NANOS_PER_MILLI, nowNanos);
        }
      }
    }

    private void onServiceEnd(double millis, long nowNanos) {
      statistics.add(expectedMillis, millis);
      double ratio = millis / Math.max(MIN_SERVICE_MILLIS, nominalMillis);
      double slowness = paces.getSlowness(request.pool(), target, nowNanos);
      estimator.onServiceTime(
          request, Math.max(MIN_SERVICE_MILLIS, ratio * serviceMillis / slowness));
      double paceRatio =
          Math.max(MIN_PACE_MILLIS, millis) / Math.max(MIN_PACE_MILLIS, nominalMillis);
      paces.add(request.pool(), target, paceRatio, nowNanos);
    }
  }
}
