package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.ReachabilitySettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.RetryAllowance;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.protocol.traffic.LoadSample;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Runs the forwarders of a deployment in virtual time while its targets fall silent again and
 * again, together or one after the other, and counts the attempts that reach the targets and the
 * streams that end although no target broke one off.
 *
 * <p>A silent target accepts connections. It reads the requests, also those that were given up, and
 * goes on with its responses when the silence ends.
 */
final class SilenceSchedule {

  /**
   * Holds the load and the disturbances of a schedule.
   *
   * @param targets the number of targets
   * @param slots the requests that a target runs at the same time; it rejects more
   * @param requestsPerSecond the requests of all callers, retries of callers not included
   * @param maxAttempts the attempts that the route allows
   * @param silenceMillis the length of a silence
   * @param periodMillis the time from the start of a silence to that of the next
   * @param staggerMillis the time from the start of the silence of one target to that of the next
   *     target, 0 if they fall silent together
   * @param silentShare the fraction of the targets that are silent
   * @param cutEntries the entries whose new connections fail from half a second before a silence to
   *     two seconds after its start
   * @param restartedEntries the entries that are restarted half a second before a silence
   * @param refusalRate the fraction of the offers that an entry refuses without a reason
   * @param mix the kinds of requests
   */
  record Load(
      int targets,
      int slots,
      int requestsPerSecond,
      int maxAttempts,
      int silenceMillis,
      int periodMillis,
      int staggerMillis,
      double silentShare,
      int cutEntries,
      int restartedEntries,
      double refusalRate,
      RequestMix mix) {

    /** Creates a load that consists mostly of streams. */
    Load(
        int targets,
        int slots,
        int requestsPerSecond,
        int maxAttempts,
        int silenceMillis,
        int periodMillis,
        int staggerMillis,
        double silentShare,
        int cutEntries,
        int restartedEntries,
        double refusalRate) {
      this(
          targets,
          slots,
          requestsPerSecond,
          maxAttempts,
          silenceMillis,
          periodMillis,
          staggerMillis,
          silentShare,
          cutEntries,
          restartedEntries,
          refusalRate,
          RequestMix.STREAMS);
    }
  }

  /** Records a request and its attempts at targets. */
  private static final class Request {
    private final Route route;
    private final long sentMillis;
    private final boolean isCallerRetry;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Set<InstanceId> runs = new HashSet<>();
    private int entry;
    private Disposable forwarding;
    private boolean isLost;
    private boolean isFailed;
    private boolean isRetried;

    Request(Route route, long sentMillis, boolean isCallerRetry) {
      this.route = route;
      this.sentMillis = sentMillis;
      this.isCallerRetry = isCallerRetry;
    }

    long getEndMillis() {
      return sentMillis + route.timeout().toMillis();
    }
  }

  /** Records when an attempt was sent and when its target read it, and the time it was handed. */
  private record Arrival(long sentMillis, long millis, long timeMillis) {
    long getEndMillis() {
      return millis + timeMillis;
    }
  }

  /** One attempt at a target. */
  private static final class Attempt {
    private final Target target;
    private final Sinks.Many<ResponsePart> parts = Sinks.many().unicast().onBackpressureBuffer();
    private boolean isEnded;

    Attempt(Target target) {
      this.target = target;
    }
  }

  /** One entry, whose process may be replaced. */
  private final class Entry {
    private Forwarder forwarder;
    private ReachabilityWatch watch;
    private RetryAllowance allowance;

    void start(long registeredNanos) {
      PlacementSettings placement = PlacementSettings.ofDefaults();
      SimpleMeterRegistry registry = new SimpleMeterRegistry();
      registries.add(registry);
      TargetPlacer placer =
          new TargetPlacer(placement, ForwardFixtures.ZONE, random, ForwardFixtures.newSchedule());
      allowance = new RetryAllowance(SLACK * MARGIN, ZONES, WINDOW, WINDOW);
      allowance.onRegistered(registeredNanos);
      allowance.onCounted(ENTRIES / ZONES, nanoTime());
      int index = entries.indexOf(this);
      watch =
          new ReachabilityWatch(
              new ReachabilityMonitor(ReachabilitySettings.ofDefaults(), nanoTime()),
              () -> targets,
              () -> targets,
              placer,
              target -> connect(index, target),
              random,
              SilenceSchedule.this::nanoTime,
              registry);
      RetryAllowance current = allowance;
      forwarder =
          new Forwarder(
              ForwardFixtures.newView(targets, () -> true),
              placer,
              new StallDetector(placement),
              (target, routed, remaining, lastEventId) ->
                  send(index, target, routed, remaining, lastEventId),
              new HealthCheckValidator(
                  new TargetHealth(),
                  target -> connect(index, target),
                  placer,
                  watch,
                  SilenceSchedule.this::nanoTime,
                  registry),
              new ServiceRetryBudgets(RATIO * MARGIN, WINDOW, () -> current.get(nanoTime())),
              ForwardFixtures.newCrashGuard(),
              SilenceSchedule.this::nanoTime,
              stalledTarget -> {},
              registry,
              watch,
              request -> relay(index, request),
              ByteBudget.unlimited(SilenceSchedule.this::nanoTime));
      forwarder.start();
      watch.start();
    }

    void stop() {
      forwarder.stop();
      watch.stop();
    }
  }

  /** Asks targets, which answer once they aren't silent. */
  private final class TargetHealth implements HealthCheck {
    @Override
    public boolean isAvailable(Target target) {
      return true;
    }

    @Override
    public Mono<Void> check(Target target) {
      healthChecks++;
      long now = nowMillis();
      return Mono.delay(Duration.ofMillis(getAwakeMillis(target, now + 1) - now + 1)).then();
    }
  }

  static final int SLACK = 136;
  static final double RATIO = 0.2;
  static final Duration WINDOW = Duration.ofSeconds(10);

  /** The part of the budget that entries use. */
  private static final double MARGIN = 0.9;

  private static final int ENTRIES = 9;
  private static final int ZONES = 3;
  private static final int EVENTS = 12;
  private static final int MAX_OFFERS = 5;
  private static final int MAX_FAILED_OFFERS = 3;
  private static final long LENGTH_MILLIS = 40_000;
  private static final int STEP_MILLIS = 100;
  private static final int STEPS = (int) LENGTH_MILLIS / STEP_MILLIS + 100;
  private static final int STEPS_PER_WINDOW = (int) WINDOW.toMillis() / STEP_MILLIS;
  private static final long FIRST_SILENCE_MILLIS = 4600;
  private static final long TOLERANCE_MILLIS = 500;

  /** The time that a caller must have left to come back. */
  private static final long MIN_RETRY_MILLIS = 60;

  private static final Duration STREAM_TIMEOUT = Duration.ofSeconds(8);

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final UniformRandomProvider random;
  private final Load load;
  private final List<Target> targets = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<InstanceId, Integer> running = new HashMap<>();
  private final List<SimpleMeterRegistry> registries = new ArrayList<>();
  private int rejections;
  private int healthChecks;

  SilenceSchedule(long seed, Load load) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.load = load;
    for (int i = 0; i < load.targets(); i++) {
      targets.add(ForwardFixtures.newTarget("t" + i));
    }
  }

  /** Plays the schedule. */
  void run() {
    VirtualTimeScheduler.set(scheduler);
    try {
      for (int i = 0; i < ENTRIES; i++) {
        entries.add(new Entry());
      }
      entries.forEach(e -> e.start(-WINDOW.multipliedBy(2).toNanos()));
      Disposable counting =
          Flux.interval(Duration.ofSeconds(1))
              .subscribe(
                  t -> entries.forEach(e -> e.allowance.onCounted(ENTRIES / ZONES, nanoTime())));
      long count = LENGTH_MILLIS / 1000 * load.requestsPerSecond();
      for (int i = 0; i < count; i++) {
        String id = "req" + i;
        Route route = newRoute();
        Mono.delay(Duration.ofMillis((long) (random.nextDouble() * LENGTH_MILLIS)))
            .subscribe(t -> start(id, route, false));
      }
      for (long at = FIRST_SILENCE_MILLIS; at < LENGTH_MILLIS; at += load.periodMillis()) {
        Mono.delay(Duration.ofMillis(at - TOLERANCE_MILLIS)).subscribe(t -> restart());
      }
      scheduler.advanceTimeBy(
          Duration.ofMillis(LENGTH_MILLIS).plus(STREAM_TIMEOUT.multipliedBy(2)));
      counting.dispose();
      entries.forEach(Entry::stop);
    } finally {
      VirtualTimeScheduler.reset();
    }
  }

  private Route newRoute() {
    RequestMix mix = load.mix();
    double choice = random.nextDouble();
    if (choice < mix.streams()) {
      return ForwardFixtures.newRoute(RequestKind.STREAM, true, STREAM_TIMEOUT, load.maxAttempts());
    }
    RequestKind kind =
        choice < mix.streams() + mix.lookups()
            ? RequestKind.IDEMPOTENT
            : RequestKind.NON_IDEMPOTENT;
    return ForwardFixtures.newRoute(
        kind, false, mix.timeout(), mix.latencyTarget(), load.maxAttempts());
  }

  private void start(String id, Route route, boolean isCallerRetry) {
    Request request = new Request(route, nowMillis(), isCallerRetry);
    requests.put(id, request);
    request.entry = random.nextInt(ENTRIES);
    request.forwarding =
        entries
            .get(request.entry)
            .forwarder
            .forward(ForwardFixtures.newRequest(id, route, nanoTime()))
            .subscribe(part -> {}, e -> onFailure(id, request, e));
  }

  /** Has the caller retry once, where the route or the outcome allows it. */
  private void onFailure(String id, Request request, Throwable error) {
    request.isLost = isLost(error);
    request.isFailed = true;
    if (request.isCallerRetry || !(error instanceof ForwardException failure)) {
      return;
    }
    if (failure.getOutcome() == Outcome.NOT_RUN || request.route.isRetryable()) {
      long leftMillis = request.getEndMillis() - nowMillis();
      long waitMillis = Math.min(failure.getRetryAfter().toMillis(), leftMillis / 3);
      if (leftMillis >= MIN_RETRY_MILLIS) {
        Route route = ForwardFixtures.withTimeout(request.route, leftMillis - waitMillis);
        request.isRetried = true;
        Mono.delay(Duration.ofMillis(waitMillis)).subscribe(t -> start(id + "-again", route, true));
      }
    }
  }

  /** Tests whether a request that targets may have run got no whole response. */
  private static boolean isLost(Throwable error) {
    return !(error instanceof ForwardException failure) || failure.getOutcome() != Outcome.NOT_RUN;
  }

  private void restart() {
    for (int i = 0; i < load.restartedEntries(); i++) {
      int index = random.nextInt(ENTRIES);
      entries.get(index).stop();
      requests.values().stream()
          .filter(r -> r.entry == index && r.forwarding != null)
          .forEach(r -> r.forwarding.dispose());
      entries.get(index).start(nanoTime());
    }
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  /** Returns the time since the start of a silence, negative before the first. */
  private long getPhaseMillis(long millis) {
    long since = millis - FIRST_SILENCE_MILLIS;
    return since < 0 ? since : since % load.periodMillis();
  }

  /** Returns the time since the start of the silence of a target. */
  private long getPhaseMillis(Target target, long millis) {
    return getPhaseMillis(millis - (long) targets.indexOf(target) * load.staggerMillis());
  }

  /** Returns the time from which a target is not silent. */
  private long getAwakeMillis(Target target, long millis) {
    long phase = getPhaseMillis(target, millis);
    boolean isSilent =
        targets.indexOf(target) < load.silentShare() * targets.size()
            && phase >= 0
            && phase < load.silenceMillis();
    return isSilent ? millis - phase + load.silenceMillis() + random.nextInt(20) : millis;
  }

  private boolean isCut(int entry) {
    long phase = getPhaseMillis(nowMillis() + TOLERANCE_MILLIS);
    return entry < load.cutEntries() && phase >= 0 && phase < 5 * TOLERANCE_MILLIS;
  }

  private Mono<Void> connect(int entry, Target target) {
    return isCut(entry) ? connectInVain(target).then() : Mono.empty();
  }

  private static Flux<ResponsePart> connectInVain(Target target) {
    return Mono.delay(Duration.ofMillis(2))
        .thenMany(
            Flux.error(
                new TargetUnreachableException(
                    "forward", target.id().value(), "no connection", null)));
  }

  /** Offers a request to other entries, in the same order of events as between processes. */
  private Flux<ResponsePart> relay(int sender, RelayedRequest request) {
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      if (i != sender) {
        others.add(i);
      }
    }
    for (int i = others.size() - 1; i > 0; i--) {
      Collections.swap(others, i, random.nextInt(i + 1));
    }
    return offer(others.subList(0, MAX_OFFERS), 0, request, nanoTime());
  }

  private Flux<ResponsePart> offer(
      List<Integer> others, int failures, RelayedRequest request, long startNanos) {
    if (others.isEmpty() || failures >= MAX_FAILED_OFFERS) {
      return Flux.error(newRelayException(Outcome.NOT_RUN));
    }
    List<Integer> rest = others.subList(1, others.size());
    return Mono.delay(Duration.ofMillis(3))
        .thenMany(
            Flux.defer(
                () -> {
                  RoutedRequest routed = request.routed();
                  Forwarder receiver = entries.get(others.get(0)).forwarder;
                  boolean isGeneration = routed.request().prompt().isPresent();
                  if (random.nextDouble() < load.refusalRate()
                      || !receiver.canPlace(routed.service(), routed.getPool(), isGeneration)) {
                    return offer(rest, failures, request, startNanos);
                  }
                  RelayedRequest sent =
                      request.withRemaining(
                          request.remaining().minusNanos(nanoTime() - startNanos));
                  boolean[] hasParts = new boolean[1];
                  return receiver
                      .forwardRelayed(sent)
                      .doOnNext(part -> hasParts[0] = true)
                      .doOnComplete(() -> request.listener().onEnd(Outcome.RAN))
                      .doOnError(
                          ForwardException.class, e -> request.listener().onEnd(e.getOutcome()))
                      .onErrorResume(
                          ForwardException.class,
                          e ->
                              isNotRun(e) && !hasParts[0] && request.retryPermit().getAsBoolean()
                                  ? offer(rest, failures + 1, request, startNanos)
                                  : Flux.error(e));
                }));
  }

  private static boolean isNotRun(ForwardException error) {
    return error.getOutcome() == Outcome.NOT_RUN && !error.isTimeout();
  }

  private static ForwardException newRelayException(Outcome outcome) {
    return new ForwardException(
        "relay", "-", "no entry took it", outcome, Duration.ofMillis(500), false);
  }

  private Flux<ResponsePart> send(
      int entry,
      Target target,
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId) {
    return Flux.defer(
        () -> {
          if (isCut(entry)) {
            return connectInVain(target);
          }
          Attempt attempt = new Attempt(target);
          long now = nowMillis();
          long readMillis = getAwakeMillis(target, now + 1);
          Mono.delay(Duration.ofMillis(readMillis - now))
              .subscribe(t -> read(attempt, now, routed, remaining, lastEventId));
          return attempt.parts.asFlux().doFinally(signal -> attempt.isEnded = true);
        });
  }

  private void read(
      Attempt attempt,
      long sentMillis,
      RoutedRequest routed,
      Duration remaining,
      OptionalLong lastEventId) {
    Request request = requests.get(routed.request().id());
    request.arrivals.add(new Arrival(sentMillis, nowMillis(), remaining.toMillis()));
    int busy = running.getOrDefault(attempt.target.id(), 0);
    if (busy >= load.slots()) {
      rejections++;
      attempt.parts.tryEmitError(
          new RequestRejectedException(
              "forward", attempt.target.id().value(), newAnswer(routed, 503, busy)));
      return;
    }
    request.runs.add(attempt.target.id());
    running.put(attempt.target.id(), busy + 1);
    List<ResponsePart> parts = new ArrayList<>();
    boolean isFailed =
        routed.route().kind() == RequestKind.IDEMPOTENT
            && random.nextDouble() < load.mix().failureRate();
    parts.add(new ResponsePart.Head(newAnswer(routed, isFailed ? 500 : 200, busy + 1)));
    if (routed.route().kind() == RequestKind.STREAM) {
      for (long i = lastEventId.orElse(0) + 1; i <= EVENTS; i++) {
        parts.add(ForwardFixtures.newBodyChunk("id: " + i + "\ndata: x\n\n"));
      }
    } else {
      parts.add(ForwardFixtures.newBodyChunk("answer"));
    }
    emit(attempt, parts, 0);
  }

  private TargetAnswer newAnswer(RoutedRequest routed, int status, int busy) {
    return new TargetAnswer(
        status,
        new DefaultHttpHeaders(),
        Optional.of(routed.request().id()),
        true,
        status == 503,
        Optional.of(new LoadSample(busy, 0, load.slots())),
        OptionalDouble.empty());
  }

  /** Emits the parts of a response one after the other, unless the entry gives it up. */
  private void emit(Attempt attempt, List<ResponsePart> parts, int index) {
    long now = nowMillis();
    long nextMillis =
        getAwakeMillis(
            attempt.target,
            now + load.mix().partMillis() / 2 + random.nextInt(load.mix().partMillis()));
    Mono.delay(Duration.ofMillis(getAwakeMillis(attempt.target, nextMillis) - now))
        .subscribe(
            t -> {
              if (!attempt.isEnded && index < parts.size()) {
                attempt.parts.tryEmitNext(parts.get(index));
                emit(attempt, parts, index + 1);
                return;
              }
              running.merge(attempt.target.id(), -1, Integer::sum);
              attempt.parts.tryEmitComplete();
            });
  }

  /** Counts the streams that targets may have run and that are not complete. */
  long countLostStreams() {
    return requests.values().stream()
        .filter(r -> r.isLost && r.route.kind() == RequestKind.STREAM)
        .count();
  }

  /** Finds the window that exceeds the allowed repeats most, or returns an empty text. */
  String findExcess() {
    int[] sent = new int[STEPS];
    int[] repeats = new int[STEPS];
    for (Request request : requests.values()) {
      sent[getStep(request.sentMillis)]++;
      request.arrivals.stream().skip(1).forEach(a -> repeats[getStep(a.millis())]++);
    }
    String worst = "";
    double worstRatio = 1;
    for (int end = 1; end <= STEPS; end++) {
      int mostSent = sumWindow(sent, end);
      mostSent = Math.max(mostSent, sumWindow(sent, end - STEPS_PER_WINDOW / 2));
      mostSent = Math.max(mostSent, sumWindow(sent, end - STEPS_PER_WINDOW));
      double allowed = RATIO * mostSent + SLACK;
      int count = sumWindow(repeats, end);
      if (count / allowed > worstRatio) {
        worstRatio = count / allowed;
        worst = count + " repeats, " + allowed + " allowed, in the window to step " + end;
      }
    }
    return worst;
  }

  private static int getStep(long millis) {
    return (int) Math.min(millis / STEP_MILLIS, STEPS - 1);
  }

  private static int sumWindow(int[] counts, int endStep) {
    int sum = 0;
    for (int i = Math.max(0, endStep - STEPS_PER_WINDOW); i < endStep; i++) {
      sum += counts[i];
    }
    return sum;
  }

  /** Counts the requests that ran at more targets than their route allows. */
  long countExcessiveRuns() {
    return requests.values().stream().filter(r -> r.runs.size() > r.route.maxAttempts()).count();
  }

  /** Counts the repeats that arrived long after the first attempt. */
  long countLateRepeats() {
    return requests.values().stream().mapToLong(r -> countLateRepeats(r, 0)).sum();
  }

  /** Counts those of the late repeats whose time ends long after that of the request. */
  long countOverlongRepeats() {
    return requests.values().stream().mapToLong(r -> countLateRepeats(r, TOLERANCE_MILLIS)).sum();
  }

  private static long countLateRepeats(Request request, long excessMillis) {
    if (request.arrivals.isEmpty()) {
      return 0;
    }
    Arrival first = request.arrivals.get(0);
    return request.arrivals.stream()
        .filter(a -> a.millis() > first.millis() + TOLERANCE_MILLIS)
        .filter(
            a ->
                excessMillis == 0
                    || a.getEndMillis() > first.getEndMillis() + excessMillis
                        && a.getEndMillis() > request.getEndMillis() + excessMillis)
        .count();
  }

  /** Counts the requests that ended with an error, also that of the caller's retry. */
  long countFailures() {
    return requests.values().stream().filter(r -> r.isFailed && !r.isRetried).count();
  }

  /** Counts the attempts that were handed more time than was left when they were sent. */
  long countOverlongTimes() {
    return requests.values().stream()
        .mapToLong(
            r ->
                r.arrivals.stream()
                    .filter(a -> a.sentMillis() + a.timeMillis() > r.getEndMillis())
                    .count())
        .sum();
  }

  /** Describes what was counted. */
  String describe() {
    Map<String, Double> failures = new HashMap<>();
    registries.forEach(
        registry ->
            registry
                .getMeters()
                .forEach(
                    m -> {
                      if (m.getId().getName().startsWith("fireflyshed.forward")) {
                        String retry = m.getId().getTag("retry");
                        failures.merge(
                            m.getId().getName().substring(20) + (retry == null ? "" : " " + retry),
                            m.measure().iterator().next().getValue(),
                            Double::sum);
                      }
                    }));
    long arrivals = requests.values().stream().mapToLong(r -> r.arrivals.size()).sum();
    return load
        + ": "
        + requests.size()
        + " requests, "
        + arrivals
        + " arrivals, "
        + rejections
        + " rejections, "
        + countLostStreams()
        + " streams lost, "
        + countFailures()
        + " failures, "
        + healthChecks
        + " health checks, "
        + countExcessiveRuns()
        + " with too many runs, "
        + countOverlongRepeats()
        + " of "
        + countLateRepeats()
        + " late repeats overlong, "
        + failures;
  }
}
