package io.fireflyshed.bench.limits;

import io.fireflyshed.coordination.limits.AdmissionControl;
import io.fireflyshed.coordination.limits.AdmissionControl.Verdict;
import io.fireflyshed.coordination.limits.LimitSettings;
import io.fireflyshed.state.clock.ManualClock;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/** Runs the admission of several entries in simulated time, with notices that are late or lost. */
final class LimitsSimulation {

  /** What one account sends. */
  record Demand(String account, double perSecond, double[] partOfEntry) {}

  /** The figures of an account. */
  static final class AccountResult {

    private final Histogram waitAndRunMicros = new Histogram(3);
    private final List<Long> startNanos = new ArrayList<>();

    double getP99Millis() {
      return waitAndRunMicros.getValueAtPercentile(99) / 1e3;
    }

    /** Gets the starts for each second of an interval. */
    double getRate(long fromNanos, long toNanos) {
      long count = startNanos.stream().filter(t -> t >= fromNanos && t < toNanos).count();
      return count * (double) SECOND / (toNanos - fromNanos);
    }
  }

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();
  private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();
  private static final long MAX_DELAY_NANOS = Duration.ofMillis(20).toNanos();
  private static final double LOSS = 0.02;
  private static final double MEAN_RUN_NANOS = Duration.ofMillis(800).toNanos();
  private static final double RUN_SPREAD = 0.5;

  private record Request(String account, long arrivalNanos) {}

  private record Event(long dueNanos, long sequence, Runnable action) {}

  private final ManualClock clock = new ManualClock();
  private final UniformRandomProvider rng;
  private final List<AdmissionControl<Request>> controls = new ArrayList<>();
  private final List<PeerId> ids = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::sequence));
  private final Map<String, AccountResult> results = new HashMap<>();
  private final long warmNanos;
  private final long endNanos;
  private long cutFromNanos = Long.MAX_VALUE;
  private long nextSequence;
  private long notices;

  LimitsSimulation(
      UniformRandomProvider rng,
      int entries,
      LimitSettings settings,
      int capacity,
      Duration warmUp,
      Duration length) {
    this.rng = rng;
    this.warmNanos = warmUp.toNanos();
    this.endNanos = length.toNanos();
    for (int i = 0; i < entries; i++) {
      ids.add(new PeerId("entry-" + i));
      controls.add(new AdmissionControl<>(ids.get(i), settings, clock.nanoTime()));
      controls.get(i).setCapacity(capacity);
    }
  }

  /** Cuts all entries off from each other from a moment on. */
  void cutFrom(Duration moment) {
    cutFromNanos = moment.toNanos();
  }

  Map<String, AccountResult> run(List<Demand> demands) {
    for (Demand demand : demands) {
      results.put(demand.account(), new AccountResult());
      scheduleArrival(demand);
    }
    for (int i = 0; i < controls.size(); i++) {
      int entry = i;
      schedule(rng.nextLong(POLL_NANOS), () -> pollLater(entry));
      schedule(rng.nextLong(TICK_NANOS), () -> tickLater(entry));
    }
    while (!events.isEmpty() && events.peek().dueNanos() < endNanos) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos(event.dueNanos() - clock.nanoTime()));
      event.action().run();
    }
    return results;
  }

  /** Gets the number of notices that each entry sent in a second. */
  double getNoticesPerSecond() {
    return notices * (double) SECOND / endNanos / controls.size();
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(clock.nanoTime() + delayNanos, nextSequence++, action));
  }

  private void scheduleArrival(Demand demand) {
    long gap = (long) (-Math.log(1 - rng.nextDouble()) * SECOND / demand.perSecond());
    schedule(
        gap,
        () -> {
          arrive(demand);
          scheduleArrival(demand);
        });
  }

  private void arrive(Demand demand) {
    int entry = 0;
    double left = rng.nextDouble();
    while (entry < controls.size() - 1 && left >= demand.partOfEntry()[entry]) {
      left -= demand.partOfEntry()[entry];
      entry++;
    }
    Request request = new Request(demand.account(), clock.nanoTime());
    controls
        .get(entry)
        .offer(demand.account(), 0, Duration.ofMinutes(1), request, clock.nanoTime());
    poll(entry);
  }

  private void poll(int entry) {
    for (Verdict<Request> verdict : controls.get(entry).poll(clock.nanoTime())) {
      if (verdict.refusal().isEmpty()) {
        start(entry, verdict.request());
      }
    }
  }

  private void start(int entry, Request request) {
    long startNanos = clock.nanoTime();
    double gauss = Math.sqrt(-2 * Math.log(1 - rng.nextDouble()));
    double normal = gauss * Math.cos(2 * Math.PI * rng.nextDouble());
    double spread = Math.exp(RUN_SPREAD * normal - RUN_SPREAD * RUN_SPREAD / 2);
    long runNanos = (long) (MEAN_RUN_NANOS * spread);
    AccountResult result = results.get(request.account());
    result.startNanos.add(startNanos);
    if (startNanos >= warmNanos) {
      long total = startNanos + runNanos - request.arrivalNanos();
      result.waitAndRunMicros.recordValue(total / 1_000);
    }
    schedule(
        runNanos,
        () -> {
          controls.get(entry).end(request.account(), Duration.ofNanos(runNanos));
          poll(entry);
        });
  }

  private void pollLater(int entry) {
    poll(entry);
    schedule(POLL_NANOS, () -> pollLater(entry));
  }

  private void tickLater(int entry) {
    List<PeerId> partners = ids.stream().filter(p -> !p.equals(ids.get(entry))).toList();
    controls
        .get(entry)
        .tick(partners, clock.nanoTime())
        .forEach(demand -> send(ids.indexOf(demand.receiver()), demand));
    schedule(TICK_NANOS, () -> tickLater(entry));
  }

  private void send(int receiver, PeerNotice notice) {
    notices++;
    if (clock.nanoTime() >= cutFromNanos || rng.nextDouble() < LOSS) {
      return;
    }
    schedule(
        rng.nextLong(1, MAX_DELAY_NANOS),
        () ->
            controls
                .get(receiver)
                .onNotice(notice, clock.nanoTime())
                .ifPresent(grant -> send(ids.indexOf(grant.receiver()), grant)));
  }
}
