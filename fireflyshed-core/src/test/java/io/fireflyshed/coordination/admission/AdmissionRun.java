package io.fireflyshed.coordination.admission;

import io.fireflyshed.coordination.placement.EntrySchedule;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.placement.PlacementSettings;
import io.fireflyshed.coordination.placement.RequestDescriptor;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.Rank;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays callers of several ranks and accounts at many entries in virtual time. Targets start the
 * most urgent of their waiting requests first. Refused callers come back when they were told to,
 * until their deadline; hasty ones repeat three times at once before.
 */
final class AdmissionRun {

  private static final String POOL = "pool";
  private static final int ACCOUNTS = 24;
  private static final long LATENCY_TARGET_NANOS = Duration.ofMillis(300).toNanos();
  private static final long DEADLINE_NANOS = Duration.ofMillis(2500).toNanos();
  private static final long REPORT_NANOS = Duration.ofMillis(200).toNanos();
  private static final long REPORT_DELAY_NANOS = Duration.ofMillis(120).toNanos();
  private static final int HASTY_REPEATS = 3;

  /** Callers before this time aren't counted, as the demand isn't known yet. */
  private static final double COUNTED_FROM_SECONDS = 4;

  /**
   * Describes the targets.
   *
   * @param slots the requests that a target runs at once
   * @param meanMillis the mean time that a request runs
   * @param isModelPool whether they are replicas of a model
   */
  record Service(int slots, double meanMillis, boolean isModelPool) {

    static final Service PLAIN = new Service(6, 120, false);
    static final Service MODEL = new Service(9, 900, true);
  }

  /** Counts callers. */
  static final class Result {
    int callers;
    int served;
    int onTime;
    int refusals;

    double getServedPart() {
      return callers == 0 ? 1 : (double) served / callers;
    }

    double getOnTimePart() {
      return callers == 0 ? 1 : (double) onTime / callers;
    }

    @Override
    public String toString() {
      return String.format(
          "%d callers, served %.3f, on time %.3f, refusals %d",
          callers, getServedPart(), getOnTimePart(), refusals);
    }
  }

  private record Event(long nanos, Runnable action) {}

  private record Caller(
      int rank, int account, double millis, boolean isHasty, long nanos, List<Result> results) {}

  private record Waiting(int rank, long order, Caller caller, TargetPlacer placer) {}

  private final class Server {
    private final Target target;
    private final PriorityQueue<Waiting> waiting =
        new PriorityQueue<>(
            Comparator.comparingInt(Waiting::rank).thenComparingLong(Waiting::order));
    private int running;
    private boolean isGone;

    Server(Target target) {
      this.target = target;
    }

    void add(Waiting request) {
      waiting.add(request);
      startNext();
    }

    private void startNext() {
      while (running < service.slots() && !waiting.isEmpty()) {
        Waiting next = waiting.poll();
        long waited = clock.nanoTime() - next.caller().nanos();
        if (waited > DEADLINE_NANOS) {
          next.placer().onEnd(POOL, target.id(), clock.nanoTime());
          continue;
        }
        running++;
        at((long) (next.caller().millis() * 1e6), () -> end(next, waited));
      }
    }

    private void end(Waiting request, long waited) {
      running--;
      TargetPlacer placer = request.placer();
      placer.onEnd(POOL, target.id(), clock.nanoTime());
      placer.onLoad(target.id(), running + waiting.size(), service.slots(), clock.nanoTime());
      if (!isGone) {
        request.caller().results().forEach(r -> r.served++);
        if (waited <= LATENCY_TARGET_NANOS) {
          request.caller().results().forEach(r -> r.onTime++);
        }
      }
      startNext();
    }
  }

  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos));
  private final UniformRandomProvider random;
  private final Map<InstanceId, Server> servers = new HashMap<>();
  private final List<Server> serverList = new ArrayList<>();
  private final List<TargetPlacer> placers = new ArrayList<>();
  private final List<RankAdmission> admissions = new ArrayList<>();
  private final Map<Integer, Result> byRank = new TreeMap<>();
  private final Map<Integer, Result> byAccount = new TreeMap<>();
  private final Map<Boolean, Result> bySize = new TreeMap<>();
  private final Map<Boolean, Result> byHaste = new TreeMap<>();
  private final Result cutOff = new Result();
  private final Service service;
  private final boolean isRanked;
  private boolean isFirstCutOff;
  private double largeAccountWeight = 1;
  private boolean hasHastyCallers;
  private long order;
  private double freeSlotsAtRefusals;
  private int refusals;

  AdmissionRun(Service service, int entries, int targets, boolean isRanked, long seed) {
    this.service = service;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.isRanked = isRanked;
    for (int i = 0; i < targets; i++) {
      Server server = new Server(newTarget(i));
      serverList.add(server);
      servers.put(server.target.id(), server);
    }
    for (int i = 0; i < entries; i++) {
      TargetPlacer placer =
          new TargetPlacer(
              PlacementSettings.ofDefaults(),
              new AvailabilityZone("z" + i % 3),
              RandomSource.XO_RO_SHI_RO_128_PP.create(seed + i),
              new EntrySchedule(0, 1, new SharedClock(clock)));
      placers.add(placer);
      admissions.add(new RankAdmission(placer.getDemands()));
    }
    at(REPORT_NANOS, this::report);
  }

  private Target newTarget(int number) {
    return new Target(
        new InstanceId("t" + number),
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("z" + number % 3),
        false,
        service.slots(),
        1,
        Optional.empty());
  }

  /** Cuts the first entry off from the others. */
  AdmissionRun withFirstEntryCutOff() {
    isFirstCutOff = true;
    return this;
  }

  /** Gives the first account a multiple of the requests of each other one. */
  AdmissionRun withLargeAccount(double weight) {
    largeAccountWeight = weight;
    return this;
  }

  /** Has the callers of a third of the accounts repeat at once. */
  AdmissionRun withHastyCallers() {
    hasHastyCallers = true;
    return this;
  }

  /** Removes a third of the targets for some time; their requests are lost. */
  AdmissionRun withoutThirdOfTargets(double fromSeconds, double toSeconds) {
    List<Server> gone = serverList.subList(0, serverList.size() / 3);
    at((long) (fromSeconds * 1e9), () -> gone.forEach(s -> s.isGone = true));
    at((long) (toSeconds * 1e9), () -> gone.forEach(s -> s.isGone = false));
    return this;
  }

  /**
   * Adds the requests of a rank.
   *
   * @param load the requests at a time in seconds, as a fraction of what all targets can run
   */
  AdmissionRun withRank(int rank, DoubleUnaryOperator load) {
    double perSecond = serverList.size() * service.slots() * 1000 / service.meanMillis();
    byRank.put(rank, new Result());
    scheduleArrival(rank, load, perSecond);
    return this;
  }

  private void scheduleArrival(int rank, DoubleUnaryOperator load, double perSecond) {
    double rate = load.applyAsDouble(clock.nanoTime() / 1e9) * perSecond;
    at(
        (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9),
        () -> {
          scheduleArrival(rank, load, perSecond);
          arrive(rank);
        });
  }

  AdmissionRun play(Duration length) {
    while (clock.nanoTime() < length.toNanos()) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.nanos() - clock.nanoTime()));
      event.action().run();
    }
    return this;
  }

  private void at(long delayNanos, Runnable action) {
    events.add(new Event(clock.nanoTime() + delayNanos, action));
  }

  private void report() {
    long now = clock.nanoTime();
    int first = isFirstCutOff ? 1 : 0;
    List<TargetPlacer> connected = placers.subList(first, placers.size());
    List<FleetLoad> reports =
        placers.stream().map(p -> p.takeOwnLoad(Set.of(), Set.of(), now)).toList();
    FleetLoad total =
        reports.subList(first, reports.size()).stream().reduce(FleetLoad.NONE, FleetLoad::plus);
    at(
        REPORT_DELAY_NANOS,
        () -> {
          for (int i = 0; i < connected.size(); i++) {
            connected.get(i).onFleetLoad(total, reports.get(first + i), now);
          }
        });
    at(REPORT_NANOS, this::report);
  }

  private void arrive(int rank) {
    double sample = random.nextDouble() * (largeAccountWeight + ACCOUNTS - 1);
    int account = sample < largeAccountWeight ? 0 : 1 + (int) (sample - largeAccountWeight);
    double millis = service.meanMillis() * -Math.log(1 - random.nextDouble());
    boolean isLarge = millis > service.meanMillis() * Math.log(10);
    boolean isHasty = account % 3 == 1 && hasHastyCallers;
    List<Result> results = new ArrayList<>();
    int entry = random.nextInt(placers.size());
    if (clock.nanoTime() > COUNTED_FROM_SECONDS * 1e9) {
      results.add(byRank.get(rank));
      results.add(byAccount.computeIfAbsent(account, a -> new Result()));
      results.add(bySize.computeIfAbsent(isLarge, s -> new Result()));
      results.add(byHaste.computeIfAbsent(isHasty, s -> new Result()));
      if (entry == 0) {
        results.add(cutOff);
      }
      results.forEach(r -> r.callers++);
    }
    send(entry, new Caller(rank, account, millis, isHasty, clock.nanoTime(), results), 0);
  }

  private void send(int entry, Caller caller, int repeats) {
    long now = clock.nanoTime();
    TargetPlacer placer = placers.get(entry);
    List<Target> targets = serverList.stream().filter(s -> !s.isGone).map(s -> s.target).toList();
    RequestDescriptor request = describe(caller);
    Rank rank = request.rank();
    Duration retryAfter = Duration.ZERO;
    if (isRanked) {
      AdmissionDecision decision =
          admissions
              .get(entry)
              .decide(request, placer.measureRoom(targets, service.isModelPool(), now), now);
      if (decision instanceof AdmissionDecision.Refuse refusal) {
        refuse(caller, refusal.retryAfter(), repeats);
        return;
      }
      rank = ((AdmissionDecision.Admit) decision).rank();
    }
    Placement placement = placer.place(request, targets, Set.of(), now);
    if (placement instanceof Placement.Send send) {
      placer.onStart(send.target().id());
      servers
          .get(send.target().id())
          .add(new Waiting(isRanked ? rank.value() : 0, order++, caller, placer));
    } else {
      refuse(caller, ((Placement.Refuse) placement).retryAfter(), repeats);
    }
  }

  private RequestDescriptor describe(Caller caller) {
    return new RequestDescriptor(
        "route-" + caller.rank(),
        POOL,
        service.isModelPool(),
        new Rank(caller.rank()),
        Optional.of("account-" + caller.account()),
        0,
        OptionalInt.empty(),
        0,
        0,
        Duration.ofNanos(LATENCY_TARGET_NANOS));
  }

  private void refuse(Caller caller, Duration retryAfter, int repeats) {
    caller.results().forEach(r -> r.refusals++);
    if (!caller.results().isEmpty()) {
      int running = serverList.stream().filter(s -> !s.isGone).mapToInt(s -> s.running).sum();
      long slots = serverList.stream().filter(s -> !s.isGone).count() * service.slots();
      freeSlotsAtRefusals += 1 - (double) running / slots;
      refusals++;
    }
    boolean isAtOnce = caller.isHasty() && repeats < HASTY_REPEATS;
    long wait = isAtOnce ? Duration.ofMillis(5).toNanos() : retryAfter.toNanos();
    if (clock.nanoTime() + wait - caller.nanos() < DEADLINE_NANOS) {
      at(wait, () -> send(random.nextInt(placers.size()), caller, repeats + 1));
    }
  }

  Result getRank(int rank) {
    return byRank.get(rank);
  }

  Result getCutOff() {
    return cutOff;
  }

  Result getLarge() {
    return bySize.get(true);
  }

  Result getHasty(boolean isHasty) {
    return byHaste.get(isHasty);
  }

  /** Returns the smallest number of served requests of an account divided by the mean. */
  double getLeastAccount() {
    double mean = byAccount.values().stream().mapToInt(r -> r.served).average().orElseThrow();
    return byAccount.values().stream().mapToInt(r -> r.served).min().orElseThrow() / mean;
  }

  /** Returns the least served part of an account's callers divided by that of all. */
  double getLeastAccountPart() {
    double least =
        byAccount.values().stream().mapToDouble(Result::getServedPart).min().orElseThrow();
    return least / getAll().getServedPart();
  }

  Result getAll() {
    Result all = new Result();
    byRank.values().forEach(r -> add(all, r));
    return all;
  }

  private static void add(Result sum, Result part) {
    sum.callers += part.callers;
    sum.served += part.served;
    sum.onTime += part.onTime;
    sum.refusals += part.refusals;
  }

  /** Returns the mean part of the slots that were free when a request was refused. */
  double getFreeSlots() {
    return refusals == 0 ? 0 : freeSlotsAtRefusals / refusals;
  }

  @Override
  public String toString() {
    return String.format(
        "ranks %s, all %s, large %s, hasty %s, cut off %s, free slots at refusals %.3f, least"
            + " account %.2f of the mean, its part %.2f of all",
        byRank,
        getAll(),
        bySize.get(true),
        byHaste,
        cutOff,
        getFreeSlots(),
        getLeastAccount(),
        getLeastAccountPart());
  }
}
