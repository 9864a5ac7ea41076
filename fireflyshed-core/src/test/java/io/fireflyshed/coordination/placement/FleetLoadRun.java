package io.fireflyshed.coordination.placement;

import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.clock.SharedClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.target.Target;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays the load of many entries on the replicas of one model in virtual time: requests arrive at
 * random, each replica runs some at once and queues a few, and is the slower the more it runs.
 */
final class FleetLoadRun {

  private static final String POOL = "model";
  private static final int SLOTS = 9;

  /** The requests that a replica queues before it rejects others. */
  private static final int QUEUE = 18;

  private static final double MEAN_EVENTS = 21.6;
  private static final double EVENT_MILLIS = 39;
  private static final double EVENT_MILLIS_PER_REQUEST = 0.84;
  private static final long FIRST_EVENT_NANOS = Duration.ofMillis(60).toNanos();

  /** The time between two reports of an entry. */
  private static final long REPORT_NANOS = Duration.ofMillis(200).toNanos();

  /** The time from a report to its arrival at the other entries. */
  private static final long REPORT_DELAY_NANOS = Duration.ofMillis(120).toNanos();

  /** Represents something that happens at a time. */
  private record Event(long nanos, Runnable action) {}

  /** A replica with its running and waiting requests. */
  private final class Replica {
    private final Target target;
    private final List<Runnable> waiting = new ArrayList<>();
    private int running;

    Replica(Target target) {
      this.target = target;
    }

    int getRequests() {
      return running + waiting.size();
    }

    void start(TargetPlacer placer) {
      running++;
      double events = -Math.log(1 - random.nextDouble()) * MEAN_EVENTS;
      double millis = events * (EVENT_MILLIS + EVENT_MILLIS_PER_REQUEST * running);
      at(
          FIRST_EVENT_NANOS,
          () -> placer.onLoad(target.id(), getRequests(), SLOTS, clock.nanoTime()));
      at(FIRST_EVENT_NANOS + (long) (millis * 1e6), () -> end(placer));
    }

    private void end(TargetPlacer placer) {
      running--;
      placer.onEnd(POOL, target.id(), clock.nanoTime());
      if (!waiting.isEmpty()) {
        waiting.remove(0).run();
      }
    }
  }

  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos));
  private final UniformRandomProvider random;
  private final List<Replica> replicas = new ArrayList<>();
  private final Map<InstanceId, Replica> replicasById = new HashMap<>();
  private final List<TargetPlacer> placers = new ArrayList<>();
  private final List<Target> targets;
  private int arrivals;
  private int queued;
  private int rejected;
  private int refused;

  FleetLoadRun(int entries, int replicaCount, int zones, boolean isLoadTold, long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < replicaCount; i++) {
      Replica replica = new Replica(newTarget(i, i % zones));
      replicas.add(replica);
      replicasById.put(replica.target.id(), replica);
    }
    targets = replicas.stream().map(r -> r.target).toList();
    for (int i = 0; i < entries; i++) {
      placers.add(
          new TargetPlacer(
              PlacementSettings.ofDefaults(),
              new AvailabilityZone("z" + i % zones),
              RandomSource.XO_RO_SHI_RO_128_PP.create(seed + i),
              new EntrySchedule(0, 1, new SharedClock(clock))));
    }
    if (isLoadTold) {
      at(REPORT_NANOS, this::report);
    }
  }

  private static Target newTarget(int number, int zone) {
    return new Target(
        new InstanceId("t" + number),
        new ServiceName("s"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        new AvailabilityZone("z" + zone),
        false,
        SLOTS,
        1,
        Optional.empty());
  }

  private void at(long delayNanos, Runnable action) {
    events.add(new Event(clock.nanoTime() + delayNanos, action));
  }

  /** Tells each entry the load of all others, as it was when they reported. */
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
    at(REPORT_NANOS, this::report);
  }

  /** Plays requests at a rate for some seconds; the first two aren't counted. */
  FleetLoadRun run(double requestsPerSecond, Duration length) {
    long end = length.toNanos();
    scheduleArrival(requestsPerSecond);
    while (clock.nanoTime() < end) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.nanos() - clock.nanoTime()));
      event.action().run();
    }
    return this;
  }

  private void scheduleArrival(double rate) {
    double seconds = -Math.log(1 - random.nextDouble()) / rate;
    at(
        (long) (seconds * 1e9),
        () -> {
          arrive();
          scheduleArrival(rate);
        });
  }

  private void arrive() {
    boolean isCounted = clock.nanoTime() > Duration.ofSeconds(2).toNanos();
    TargetPlacer placer = placers.get(random.nextInt(placers.size()));
    Placement placement =
        placer.place(RequestDescriptor.ofPool(POOL, true), targets, Set.of(), clock.nanoTime());
    arrivals += isCounted ? 1 : 0;
    if (placement instanceof Placement.Send send) {
      Replica replica = replicasById.get(send.target().id());
      placer.onStart(replica.target.id());
      if (replica.running < SLOTS) {
        replica.start(placer);
      } else if (replica.waiting.size() < QUEUE) {
        replica.waiting.add(() -> replica.start(placer));
        queued += isCounted ? 1 : 0;
      } else {
        placer.onEnd(POOL, replica.target.id(), clock.nanoTime());
        rejected += isCounted ? 1 : 0;
      }
    } else {
      refused += isCounted ? 1 : 0;
    }
  }

  /** Returns the share of requests that had to wait at a replica. */
  double getQueuedShare() {
    return (double) queued / arrivals;
  }

  /** Returns the share of requests that a replica rejected. */
  double getRejectedShare() {
    return (double) rejected / arrivals;
  }

  /** Returns the share of requests that an entry refused. */
  double getRefusedShare() {
    return (double) refused / arrivals;
  }

  @Override
  public String toString() {
    return String.format(
        "queued %.3f, rejected %.4f, refused %.4f of %d",
        getQueuedShare(), getRejectedShare(), getRefusedShare(), arrivals);
  }
}
