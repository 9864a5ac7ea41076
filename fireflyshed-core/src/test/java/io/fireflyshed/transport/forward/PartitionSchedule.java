package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.ReachabilitySettings;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Runs the forwarders of several entries in virtual time while some of them are cut off from all
 * targets, and records what the targets ran and what the callers received.
 */
final class PartitionSchedule {

  /** Lists what a cut does to the connections of an entry to all targets. */
  enum CutKind {
    /** New connections time out, and nothing passes on old ones until the cut ends. */
    HANG,
    /** New connections are refused, and old ones are reset. */
    RESET,
    /** New connections are refused, while old ones go on. */
    HALF_LIVING
  }

  /** Lists deliberate defects around the forwarders, which the checks must detect. */
  enum Defect {
    NONE,
    /** No request reaches another entry. */
    NO_RELAY,
    /** Relays report lost responses as not run. */
    UNKNOWN_REPORTED_AS_NOT_RUN,
    /** Two entries get each relayed request. */
    RELAYED_TWICE,
    /** Entries treat relayed requests like those of their own callers. */
    RELAYED_FURTHER,
    /** The end of a cut isn't noticed. */
    NO_PROBES
  }

  /**
   * Holds a period in which an entry is cut off from all targets.
   *
   * @param entry the index of the entry
   * @param kind what happens to its connections, not null
   * @param startMillis the start in virtual time
   * @param endMillis the end in virtual time
   */
  record Cut(int entry, CutKind kind, long startMillis, long endMillis) {}

  /** Records a caller's request, its runs at targets and its response. */
  static final class Caller {
    private final int entry;
    private final Route route;
    private final long arrivalMillis;
    private final List<ResponsePart> parts = new ArrayList<>();
    private final List<InstanceId> runs = new ArrayList<>();

    /** The runs that didn't resume a stream. */
    private final List<InstanceId> wholeRuns = new ArrayList<>();

    private boolean isComplete;
    private Throwable error;
    private int relays;

    Caller(int entry, Route route, long arrivalMillis) {
      this.entry = entry;
      this.route = route;
      this.arrivalMillis = arrivalMillis;
    }

    int getEntry() {
      return entry;
    }

    Route getRoute() {
      return route;
    }

    long getArrivalMillis() {
      return arrivalMillis;
    }

    List<InstanceId> getRuns() {
      return runs;
    }

    /** Gets the number of entries that were asked to forward the request. */
    int getRelays() {
      return relays;
    }

    Optional<Throwable> getError() {
      return Optional.ofNullable(error);
    }

    boolean isServed() {
      return isComplete
          && !parts.isEmpty()
          && ((ResponsePart.Head) parts.get(0)).response().isSuccess();
    }

    String getBody() {
      StringBuilder text = new StringBuilder();
      for (ResponsePart part : parts) {
        if (part instanceof ResponsePart.BodyChunk chunk) {
          text.append(new String(chunk.bytes(), StandardCharsets.UTF_8));
        }
      }
      return text.toString();
    }
  }

  static final Duration TIMEOUT = Duration.ofSeconds(4);
  static final double RETRY_RATIO = 0.2;
  static final int RETRY_SLACK = 10;

  /**
   * The time from the end of a cut after which requests go to targets again: two intervals of
   * probes, one connection timeout, and one interval for attempts that fail after the end.
   */
  static final long RETURN_MILLIS = 2000;

  private static final int TARGETS = 12;
  private static final int EVENTS = 4;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** The time after which an unused connection is closed. */
  private static final long IDLE_MILLIS = 4000;

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final UniformRandomProvider random;
  private final int entries;
  private final List<Cut> cuts;
  private final List<Target> targets = new ArrayList<>();
  private final List<Forwarder> forwarders = new ArrayList<>();
  private final List<ReachabilityWatch> watches = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Defect defect;
  private final double relayLossRate;
  private final Map<String, Caller> callers = new HashMap<>();

  /** The time of the last use of a connection, by entry and target. */
  private final Map<String, Long> lastUseMillis = new HashMap<>();

  private final Set<String> busyConnections = new HashSet<>();

  PartitionSchedule(long seed, int entries, List<Cut> cuts) {
    this(seed, entries, cuts, 0, Defect.NONE);
  }

  /** Creates a schedule in which a fraction of the relayed requests or their responses is lost. */
  PartitionSchedule(long seed, int entries, List<Cut> cuts, double relayLossRate, Defect defect) {
    this.relayLossRate = relayLossRate;
    this.defect = defect;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.entries = entries;
    this.cuts = List.copyOf(cuts);
    for (int i = 0; i < TARGETS; i++) {
      targets.add(ForwardFixtures.newTarget("t" + i));
    }
  }

  /**
   * Sends requests to all entries for a time.
   *
   * @param length the time in which requests arrive
   * @param requestsPerSecond the mean number of requests that an entry gets in a second
   * @return the callers, by the id of the request
   */
  Map<String, Caller> run(Duration length, int requestsPerSecond) {
    VirtualTimeScheduler.set(scheduler);
    try {
      for (int i = 0; i < entries; i++) {
        forwarders.add(newForwarder(i));
      }
      forwarders.forEach(Forwarder::start);
      if (defect != Defect.NO_PROBES) {
        watches.forEach(ReachabilityWatch::start);
      }
      long count = length.toSeconds() * requestsPerSecond * entries;
      for (int i = 0; i < count; i++) {
        String id = "req" + i;
        int entry = i % entries;
        long arrivalMillis = (long) (random.nextDouble() * length.toMillis());
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        Route route = ForwardFixtures.newRoute(kind, random.nextBoolean(), TIMEOUT);
        callers.put(id, new Caller(entry, route, arrivalMillis));
        Mono.delay(Duration.ofMillis(arrivalMillis)).subscribe(t -> start(id));
      }
      scheduler.advanceTimeBy(length.plus(TIMEOUT.multipliedBy(2)));
      forwarders.forEach(Forwarder::stop);
      watches.forEach(ReachabilityWatch::stop);
    } finally {
      VirtualTimeScheduler.reset();
    }
    return callers;
  }

  private Forwarder newForwarder(int entry) {
    PlacementSettings placement = PlacementSettings.ofDefaults();
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    TargetPlacer placer =
        new TargetPlacer(placement, ForwardFixtures.ZONE, random, ForwardFixtures.newSchedule());
    ReachabilityWatch watch =
        new ReachabilityWatch(
            new ReachabilityMonitor(ReachabilitySettings.ofDefaults(), nanoTime()),
            () -> targets,
            () -> targets,
            placer,
            target -> probe(entry, target),
            random,
            this::nanoTime,
            registry);
    watches.add(watch);
    return new Forwarder(
        ForwardFixtures.newView(targets, () -> true),
        placer,
        new StallDetector(placement),
        (target, routed, remaining, lastEventId) -> send(entry, target, routed, lastEventId),
        new ServiceRetryBudgets(RETRY_RATIO, Duration.ofSeconds(10), () -> RETRY_SLACK),
        ForwardFixtures.newCrashGuard(),
        this::nanoTime,
        stalledTarget -> {},
        registry,
        watch,
        request -> relay(entry, request),
        ByteBudget.unlimited(this::nanoTime));
  }

  private Mono<Void> probe(int entry, Target target) {
    Optional<Cut> cut = findCut(entry, nowMillis());
    return cut.isPresent()
        ? connectInVain(cut.get().kind(), target).then()
        : Mono.delay(Duration.ofMillis(2)).then();
  }

  /** Passes a request to a random one of the other entries that can place it, if there is any. */
  private Flux<ResponsePart> relay(int sender, RelayedRequest request) {
    return Flux.defer(
        () -> {
          RoutedRequest routed = request.routed();
          boolean isGeneration = routed.request().prompt().isPresent();
          List<Integer> able = new ArrayList<>();
          for (int i = 0; i < entries; i++) {
            if (i != sender
                && forwarders.get(i).canPlace(routed.service(), routed.getPool(), isGeneration)) {
              able.add(i);
            }
          }
          checkRelay(sender, request);
          if (able.isEmpty() || defect == Defect.NO_RELAY) {
            return Flux.error(newRelayException(Outcome.NOT_RUN));
          }
          return Mono.delay(Duration.ofMillis(1 + random.nextInt(5)))
              .thenMany(Flux.defer(() -> relayTo(able, request)));
        });
  }

  private void checkRelay(int sender, RelayedRequest request) {
    String id = request.routed().request().id();
    Caller caller = callers.get(id);
    caller.relays++;
    if (caller.entry != sender) {
      violations.add(id + " was relayed by a second entry");
    }
    if (caller.relays > 2) {
      violations.add(id + " was relayed too often");
    }
  }

  private Flux<ResponsePart> relayTo(List<Integer> able, RelayedRequest request) {
    Forwarder receiver = forwarders.get(able.get(random.nextInt(able.size())));
    Flux<ResponsePart> response =
        defect == Defect.RELAYED_FURTHER
            ? receiver.forward(request.routed())
            : receiver.forwardRelayed(request);
    if (defect == Defect.RELAYED_TWICE) {
      forwarders.get(able.get(0)).forwardRelayed(request).subscribe(part -> {}, e -> {});
    }
    if (random.nextDouble() >= relayLossRate) {
      return response;
    }
    Outcome lost = defect == Defect.UNKNOWN_REPORTED_AS_NOT_RUN ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    return switch (random.nextInt(3)) {
      case 0 -> Flux.error(newRelayException(lost));
      case 1 -> response.take(random.nextInt(4)).concatWith(Flux.error(newRelayException(lost)));
      default -> Flux.concat(response.take(random.nextInt(4)), Flux.never());
    };
  }

  private static ForwardException newRelayException(Outcome outcome) {
    return new ForwardException(
        "relay", "entry", "failed by the schedule", outcome, Duration.ofMillis(500), false);
  }

  private long nanoTime() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private void start(String id) {
    Caller caller = callers.get(id);
    forwarders
        .get(caller.entry)
        .forward(ForwardFixtures.newRequest(id, caller.route, nanoTime()))
        .subscribe(caller.parts::add, e -> caller.error = e, () -> caller.isComplete = true);
  }

  Optional<Cut> findCut(int entry, long millis) {
    return cuts.stream()
        .filter(c -> c.entry() == entry && c.startMillis() <= millis && millis < c.endMillis())
        .findFirst();
  }

  private Flux<ResponsePart> send(
      int entry, Target target, RoutedRequest routed, OptionalLong lastEventId) {
    String connection = entry + " " + target.id();
    return Flux.defer(
        () -> {
          boolean isPooled = routed.route().isRetryable() && isIdle(connection);
          Optional<Cut> cut = findCut(entry, nowMillis());
          if (cut.isPresent() && !isPooled) {
            return connectInVain(cut.get().kind(), target);
          }
          if (cut.isPresent() && cut.get().kind() != CutKind.HALF_LIVING) {
            lastUseMillis.remove(connection);
            return cut.get().kind() == CutKind.HANG
                ? Flux.never()
                : Flux.error(newLostException(target));
          }
          Caller caller = callers.get(routed.request().id());
          caller.runs.add(target.id());
          if (lastEventId.isEmpty()) {
            caller.wholeRuns.add(target.id());
          }
          return use(connection, respond(entry, target, routed, lastEventId));
        });
  }

  private boolean isIdle(String connection) {
    Long last = lastUseMillis.get(connection);
    return last != null
        && nowMillis() - last < IDLE_MILLIS
        && !busyConnections.contains(connection);
  }

  private Flux<ResponsePart> use(String connection, Flux<ResponsePart> response) {
    boolean isOnlyUser = busyConnections.add(connection);
    return response
        .doOnComplete(() -> lastUseMillis.put(connection, nowMillis()))
        .doFinally(
            signal -> {
              if (isOnlyUser) {
                busyConnections.remove(connection);
              }
            });
  }

  private static Flux<ResponsePart> connectInVain(CutKind kind, Target target) {
    Duration time = kind == CutKind.HANG ? CONNECT_TIMEOUT : Duration.ofMillis(2);
    AttemptException error =
        new TargetUnreachableException("forward", target.id().value(), "no connection", null);
    return Mono.delay(time).thenMany(Flux.error(error));
  }

  private static AttemptException newLostException(Target target) {
    return new ConnectionLostException("forward", target.id().value(), "reset", null);
  }

  private Flux<ResponsePart> respond(
      int entry, Target target, RoutedRequest routed, OptionalLong lastEventId) {
    String id = routed.request().id();
    List<ResponsePart> parts = new ArrayList<>();
    parts.add(ForwardFixtures.newHead(id, 200));
    if (routed.route().kind() == RequestKind.STREAM) {
      for (long i = lastEventId.orElse(0) + 1; i <= EVENTS; i++) {
        parts.add(ForwardFixtures.newBodyChunk(newEvent(id, i)));
      }
    } else {
      parts.add(ForwardFixtures.newBodyChunk(newBody(id, routed.route())));
    }
    long startMillis = nowMillis();
    return Flux.fromIterable(parts)
        .concatMap(
            part ->
                Mono.delay(Duration.ofMillis(10 + random.nextInt(50)))
                    .then(Mono.defer(() -> pass(entry, target, startMillis, part))));
  }

  /** Passes a part of a response to an entry unless a cut prevents or delays it. */
  private Mono<ResponsePart> pass(int entry, Target target, long startMillis, ResponsePart part) {
    for (Cut cut : cuts) {
      boolean hasBegun = startMillis <= cut.startMillis() && cut.startMillis() <= nowMillis();
      if (cut.entry() == entry && hasBegun && cut.kind() == CutKind.RESET) {
        return Mono.error(newLostException(target));
      }
      if (cut.entry() == entry && hasBegun && cut.kind() == CutKind.HANG) {
        long waitMillis = Math.max(0, cut.endMillis() - nowMillis());
        return Mono.delay(Duration.ofMillis(waitMillis)).thenReturn(part);
      }
    }
    return Mono.just(part);
  }

  /**
   * Checks what the targets ran and what the callers received.
   *
   * @return the violations, never null
   */
  List<String> findViolations() {
    int repeatedRuns = 0;
    for (Map.Entry<String, Caller> entry : callers.entrySet()) {
      checkRuns(entry.getKey(), entry.getValue());
      checkResponse(entry.getKey(), entry.getValue());
      checkReturn(entry.getKey(), entry.getValue());
      repeatedRuns += Math.max(0, entry.getValue().runs.size() - 1);
    }
    // The windows of the budget during a schedule, each with an allowance at each entry.
    double allowedRuns = RETRY_RATIO * callers.size() + 2.0 * RETRY_SLACK * entries;
    if (repeatedRuns > allowedRuns) {
      violations.add(repeatedRuns + " repeated runs exceed the budgets");
    }
    return violations;
  }

  private void checkRuns(String id, Caller caller) {
    int maxRuns = caller.route.isRetryable() ? ForwardFixtures.MAX_ATTEMPTS : 1;
    if (caller.runs.size() > maxRuns) {
      violations.add(id + " ran too often: " + caller.runs);
    }
    if (new HashSet<>(caller.wholeRuns).size() < caller.wholeRuns.size()) {
      violations.add(id + " ran twice at the same target: " + caller.wholeRuns);
    }
    if (caller.error instanceof ForwardException e
        && e.getOutcome() == Outcome.NOT_RUN
        && !caller.runs.isEmpty()) {
      violations.add(id + " ran but was reported as not run");
    }
    if (caller.error != null && !(caller.error instanceof ForwardException)) {
      violations.add(id + " failed with " + caller.error);
    }
    if (caller.error == null && !caller.isComplete) {
      violations.add(id + " neither completed nor failed");
    }
  }

  private void checkResponse(String id, Caller caller) {
    String body = caller.getBody();
    String completeBody = newBody(id, caller.route);
    if (!completeBody.startsWith(body)) {
      violations.add(id + " received a mixed response: " + body);
    } else if (caller.isComplete && !body.equals(completeBody)) {
      violations.add(id + " received a truncated response: " + body);
    }
  }

  /** Checks that a request is not relayed longer than needed. */
  private void checkReturn(String id, Caller caller) {
    long sinceMillis = caller.arrivalMillis - RETURN_MILLIS;
    boolean isCutLately =
        cuts.stream()
            .filter(c -> c.entry() == caller.entry)
            .anyMatch(
                c ->
                    c.startMillis() <= caller.arrivalMillis + TIMEOUT.toMillis()
                        && sinceMillis < c.endMillis());
    if (caller.relays > 0 && !isCutLately) {
      violations.add(id + " was relayed though its entry reaches the targets");
    }
  }

  private static String newEvent(String id, long number) {
    return "id: " + number + "\ndata: " + id + "\n\n";
  }

  /** Creates the complete body of the response to a request. */
  static String newBody(String id, Route route) {
    if (route.kind() != RequestKind.STREAM) {
      return "answer to " + id;
    }
    StringBuilder body = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      body.append(newEvent(id, i));
    }
    return body.toString();
  }
}
