package io.fireflyshed.transport.load;

import io.fireflyshed.coordination.routing.AffinityRouter;
import io.fireflyshed.coordination.routing.CacheChange;
import io.fireflyshed.protocol.engine.LoadReport;
import io.fireflyshed.protocol.engine.ModelEngine;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.OpenReplica;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServingView;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Polls the heads of open replicas for their load and cache changes, one after another at a bounded
 * rate, and passes the answers to the router. Thread safe.
 *
 * <p>The rate bounds the cost of polling for an entry. With more replicas, each one is polled less
 * often and its load report is older.
 */
public final class LoadPoller implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

  private final Supplier<ServingView> views;
  private final ModelEngine engine;
  private final AffinityRouter router;
  private final MonotonicClock clock;
  private final Set<ReplicaId> inFlight = ConcurrentHashMap.newKeySet();
  private Set<ReplicaId> lastRound = new HashSet<>();
  private List<Assignment> round = List.of();
  private int nextIndex;
  private Disposable timer;

  /**
   * Creates a poller, which is idle until it is started.
   *
   * @param views supplies the current serving view, not null
   * @param engine the client for requests to engines, not null
   * @param router receives the answers, not null
   * @param clock the clock of this process, not null
   */
  public LoadPoller(
      Supplier<ServingView> views,
      ModelEngine engine,
      AffinityRouter router,
      MonotonicClock clock) {
    this.views = Objects.requireNonNull(views, "views");
    this.engine = Objects.requireNonNull(engine, "engine");
    this.router = Objects.requireNonNull(router, "router");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /**
   * Starts polling.
   *
   * @param pollsPerSecond the most replicas to poll per second, 1 or more
   * @param scheduler runs the timer, not null
   */
  public synchronized void start(int pollsPerSecond, Scheduler scheduler) {
    Duration interval = Duration.ofSeconds(1).dividedBy(pollsPerSecond);
    timer =
        Flux.interval(interval, interval, scheduler)
            .onBackpressureDrop()
            .subscribe(i -> pollNext(), e -> LOG.error("load: polling stopped", e));
  }

  @Override
  public synchronized void close() {
    if (timer != null) {
      timer.dispose();
    }
  }

  /** Polls the next replica, starting over with the first one after the last. */
  synchronized void pollNext() {
    if (nextIndex >= round.size()) {
      startRound();
    }
    if (nextIndex < round.size()) {
      poll(round.get(nextIndex++));
    }
  }

  private void startRound() {
    round =
        views.get().open().values().stream()
            .flatMap(List::stream)
            .map(OpenReplica::assignment)
            .toList();
    nextIndex = 0;
    Set<ReplicaId> present = new HashSet<>();
    round.forEach(a -> present.add(a.id()));
    lastRound.stream().filter(id -> !present.contains(id)).forEach(router::forget);
    lastRound = present;
  }

  private void poll(Assignment assignment) {
    ReplicaId id = assignment.id();
    if (!inFlight.add(id)) {
      return;
    }
    InstanceRecord head = assignment.getHead();
    engine
        .readLoad(head)
        .thenAccept(report -> updateLoad(id, report))
        .thenCompose(done -> engine.readCacheChanges(head, router.getLastSequence(id)))
        .whenComplete((changes, error) -> finishPoll(id, changes, error));
  }

  private void updateLoad(ReplicaId id, LoadReport report) {
    long measuredNanos = clock.nanoTime() - Duration.ofMillis(report.ageMillis()).toNanos();
    router.onLoad(id, report.running() + report.queued(), measuredNanos);
  }

  private void finishPoll(ReplicaId id, List<CacheChange> changes, Throwable error) {
    inFlight.remove(id);
    if (error != null) {
      LOG.debug("load: poll of {} failed: {}", id, error.getMessage());
      return;
    }
    router.onCacheChanges(id, changes, clock.nanoTime());
  }
}
