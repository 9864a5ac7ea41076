package io.fireflyshed.bench.drain;

import io.fireflyshed.coordination.assignment.ReplicaFormer;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.standins.engine.EngineFleet;
import io.fireflyshed.standins.engine.EngineSettings;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.transport.control.ControlLoop;
import io.fireflyshed.transport.control.ControlParts;
import io.fireflyshed.transport.control.ControlSettings;
import io.fireflyshed.transport.control.CoordinatorSettings;
import io.fireflyshed.transport.engine.HttpModelEngine;
import io.fireflyshed.transport.http.HttpCaller;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Lets one member of each replica leave and notes until when any entry would still send work there,
 * once for entries that take every sign and once for entries that trust the list only.
 */
final class DrainTrial implements AutoCloseable {

  private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
  private static final ServiceName SERVICE = new ServiceName("cards");
  private static final int MEMBERS = 2;
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);
  private static final Duration MAX_AGE = Duration.ofSeconds(2);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DRAIN_TIME = Duration.ofHours(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration START_LIMIT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 2;
  private static final long MAX_GAP_MILLIS = 200;

  private final MonotonicClock clock = MonotonicClock.system();
  private final HttpCaller caller = new HttpCaller("drain");
  private final EngineFleet fleet = new EngineFleet(EngineSettings.ofDefaults());
  private final InMemoryTableService table = new InMemoryTableService();
  private final UniformRandomProvider random;
  private final LaggingInstanceList list;
  private final Duration lag;
  private final int replicas;
  private final List<ControlLoop> entries = new ArrayList<>();
  private final List<ControlLoop> baseline = new ArrayList<>();
  private final Histogram entryMillis = new Histogram(3);
  private final Histogram baselineMillis = new Histogram(3);

  DrainTrial(int replicas, int entryCount, Duration lag, int seed) {
    this.replicas = replicas;
    this.lag = lag;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<InstanceRecord> instances = new ArrayList<>();
    for (int i = 0; i < replicas * MEMBERS; i++) {
      InstanceId id = new InstanceId("i" + i);
      FabricDomain domain = new FabricDomain("d" + i / MEMBERS);
      instances.add(
          new InstanceRecord(
              id, fleet.start(id, "127.0.0.1"), ZONE, domain, 8, false, Optional.empty()));
    }
    list = new LaggingInstanceList(instances, clock, lag);
    List<LocalPeerBus> buses = new CopyOnWriteArrayList<>();
    ModelEngine engine = new HttpModelEngine(caller, TIMEOUT);
    for (int i = 0; i < entryCount; i++) {
      entries.add(newLoop(engine, new LocalPeerBus(new PeerId("e" + i), buses)));
      PeerId id = new PeerId("b" + i);
      baseline.add(newLoop(new ListOnlyEngine(engine), new LocalPeerBus(id, new ArrayList<>())));
    }
  }

  private ControlLoop newLoop(ModelEngine engine, PeerBus bus) {
    ControlSettings settings =
        new ControlSettings(
            ZONE,
            List.of(new ModelServiceSpec(SERVICE, "cards-1", MEMBERS, replicas)),
            PROBE_INTERVAL,
            MAX_AGE,
            REFRESH_INTERVAL,
            CoordinatorSettings.of(MAX_AGE, DRAIN_TIME, true));
    return new ControlLoop(
        settings, new ControlParts(engine, list, table, bus, new ReplicaFormer(), clock, random));
  }

  Histogram getEntryMillis() {
    return entryMillis;
  }

  Histogram getBaselineMillis() {
    return baselineMillis;
  }

  /** Runs the trial and tells whether it is valid. */
  boolean run() throws InterruptedException {
    entries.forEach(ControlLoop::start);
    if (!awaitOpen(entries)) {
      return false;
    }
    baseline.forEach(ControlLoop::start);
    return awaitOpen(baseline) && leaveAll();
  }

  private boolean awaitOpen(List<ControlLoop> loops) throws InterruptedException {
    long deadline = clock.nanoTime() + START_LIMIT.toNanos();
    while (clock.nanoTime() - deadline < 0) {
      if (loops.stream().allMatch(l -> l.get().getOpen(SERVICE).size() == replicas)) {
        return true;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return false;
  }

  private boolean leaveAll() throws InterruptedException {
    List<Assignment> order =
        new ArrayList<>(
            entries.get(0).get().getOpen(SERVICE).stream().map(OpenReplica::assignment).toList());
    ListSampler.shuffle(random, order);
    Map<Assignment, Long> signs = new HashMap<>();
    Map<Assignment, Long> entryLast = new HashMap<>();
    Map<Assignment, Long> baselineLast = new HashMap<>();
    Map<Long, Assignment> due = new TreeMap<>();
    long start = clock.nanoTime();
    for (Assignment assignment : order) {
      due.put(start + random.nextLong(PROBE_INTERVAL.toNanos() * 8), assignment);
    }
    long end = start + lag.plusSeconds(10).toNanos();
    long lastPoll = start;
    boolean isSteady = true;
    while (clock.nanoTime() - end < 0) {
      long now = clock.nanoTime();
      isSteady &= now - lastPoll < MAX_GAP_MILLIS * 1_000_000;
      lastPoll = now;
      due.entrySet().removeIf(e -> leaveIfDue(e.getKey(), e.getValue(), now, signs));
      note(entries, now, entryLast);
      note(baseline, now, baselineLast);
      Thread.sleep(POLL_MILLIS);
    }
    boolean isClosed = getOpenCount(entries) + getOpenCount(baseline) == 0;
    record(signs, entryLast, entryMillis);
    record(signs, baselineLast, baselineMillis);
    return isSteady && isClosed && signs.size() == replicas;
  }

  private boolean leaveIfDue(
      long dueNanos, Assignment assignment, long nowNanos, Map<Assignment, Long> signs) {
    if (dueNanos - nowNanos > 0) {
      return false;
    }
    InstanceId member = assignment.members().get(random.nextInt(MEMBERS)).id();
    fleet.getEngine(member).leave();
    list.leave(member, nowNanos);
    signs.put(assignment, nowNanos);
    return true;
  }

  private static void note(List<ControlLoop> loops, long nowNanos, Map<Assignment, Long> last) {
    for (ControlLoop loop : loops) {
      for (OpenReplica open : loop.get().getOpen(SERVICE)) {
        if (open.isOpen(nowNanos)) {
          last.put(open.assignment(), nowNanos);
        }
      }
    }
  }

  private static long getOpenCount(List<ControlLoop> loops) {
    return loops.stream().mapToLong(l -> l.get().getOpen(SERVICE).size()).sum();
  }

  private static void record(
      Map<Assignment, Long> signs, Map<Assignment, Long> last, Histogram millis) {
    signs.forEach(
        (assignment, sign) ->
            millis.recordValue(Math.max(0, (last.get(assignment) - sign) / 1_000_000)));
  }

  @Override
  public void close() {
    entries.forEach(ControlLoop::close);
    baseline.forEach(ControlLoop::close);
    caller.close();
    fleet.close();
  }
}
