package io.fireflyshed.transport.entry;

import io.fireflyshed.coordination.limits.AdmissionControl;
import io.fireflyshed.coordination.limits.AdmissionControl.Verdict;
import io.fireflyshed.coordination.limits.LimitSettings;
import io.fireflyshed.coordination.limits.Refusal;
import io.fireflyshed.protocol.problem.Problem;
import io.fireflyshed.protocol.problem.ProblemException;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.state.peer.PeerNotice.ShareDemand;
import io.fireflyshed.state.peer.PeerNotice.ShareGrant;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/**
 * Admits requests within the limits of their accounts and the capacity of the entry, by fair
 * queueing.
 *
 * <p>A request that cannot start in time is refused as soon as that is known, with the time after
 * which the caller may retry. Thread safe.
 */
public final class QueueingAdmission implements Admission, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(QueueingAdmission.class);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final PeerBus bus;
  private final MonotonicClock clock;
  private final IntSupplier capacity;
  private final Object lock = new Object();
  private final AdmissionControl<TrackedRequest> control;
  private final Disposable.Composite tasks = Disposables.composite();

  /** A request that is queued or running. */
  private final class TrackedRequest {

    private final AdmissionRequest request;
    private final MonoSink<Permit> sink;
    private final AtomicBoolean isReleased = new AtomicBoolean();
    private long startNanos;
    private boolean isRunning;

    TrackedRequest(AdmissionRequest request, MonoSink<Permit> sink) {
      this.request = request;
      this.sink = sink;
    }

    void release() {
      if (isReleased.compareAndSet(false, true)) {
        synchronized (lock) {
          control.end(request.account(), Duration.ofNanos(clock.nanoTime() - startNanos));
        }
        poll();
      }
    }

    /** Removes the request from the queue, or ends it if it was started in the meantime. */
    void cancel() {
      boolean wasRunning;
      synchronized (lock) {
        control.cancel(this);
        wasRunning = isRunning;
      }
      if (wasRunning) {
        release();
      }
    }
  }

  /**
   * Creates an admission whose periodic tasks are not started yet.
   *
   * @param settings the limits and queue settings, not null
   * @param capacity supplies how many requests this entry may run concurrently, not null
   * @param bus exchanges notices with peers, not null
   * @param clock the clock of this process, not null
   */
  public QueueingAdmission(
      LimitSettings settings, IntSupplier capacity, PeerBus bus, MonotonicClock clock) {
    this.bus = Objects.requireNonNull(bus, "bus");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.capacity = Objects.requireNonNull(capacity, "capacity");
    control = new AdmissionControl<>(bus.getSelf(), settings, clock.nanoTime());
    bus.subscribe(this::handleNotice);
  }

  /**
   * Starts the periodic tasks, which poll the queue and exchange shares with peers.
   *
   * @param scheduler runs the tasks, not null
   */
  public void start(Scheduler scheduler) {
    tasks.add(repeat(POLL_INTERVAL, scheduler, this::poll));
    tasks.add(repeat(TICK_INTERVAL, scheduler, this::tick));
  }

  @Override
  public Mono<Permit> admit(AdmissionRequest request) {
    Objects.requireNonNull(request, "request");
    return Mono.create(
        sink -> {
          TrackedRequest tracked = new TrackedRequest(request, sink);
          sink.onCancel(tracked::cancel);
          synchronized (lock) {
            control.setCapacity(Math.max(1, capacity.getAsInt()));
            Duration startTimeout = request.startTimeout().orElse(Duration.ofNanos(Long.MAX_VALUE));
            control.offer(
                request.account(), request.priority(), startTimeout, tracked, clock.nanoTime());
          }
          poll();
        });
  }

  @Override
  public void close() {
    tasks.dispose();
  }

  /** Starts the queued requests that may start now and delivers the refusals. */
  void poll() {
    List<Verdict<TrackedRequest>> verdicts;
    synchronized (lock) {
      long now = clock.nanoTime();
      control.setCapacity(Math.max(1, capacity.getAsInt()));
      verdicts = control.poll(now);
      for (Verdict<TrackedRequest> verdict : verdicts) {
        verdict.request().startNanos = now;
        verdict.request().isRunning = verdict.refusal().isEmpty();
      }
    }
    verdicts.forEach(QueueingAdmission::deliver);
  }

  /** Sends share demands to peers and refuses queued requests that cannot start in time. */
  void tick() {
    List<ShareDemand> demands;
    synchronized (lock) {
      demands = control.tick(bus.getLivePeers(), clock.nanoTime());
    }
    demands.forEach(demand -> bus.send(demand.receiver(), demand));
    poll();
  }

  private void handleNotice(PeerNotice notice) {
    Optional<ShareGrant> grant;
    synchronized (lock) {
      grant = control.onNotice(notice, clock.nanoTime());
    }
    grant.ifPresent(g -> bus.send(g.receiver(), g));
  }

  private static void deliver(Verdict<TrackedRequest> verdict) {
    TrackedRequest tracked = verdict.request();
    if (verdict.refusal().isPresent()) {
      tracked.sink.error(new ProblemException(toProblem(tracked, verdict.refusal().get())));
    } else {
      tracked.sink.success(tokens -> tracked.release());
    }
  }

  private static Problem toProblem(TrackedRequest tracked, Refusal refusal) {
    int seconds = (int) refusal.retryAfter().toSeconds();
    String account = tracked.request.account();
    return switch (refusal.reason()) {
      case LIMITED ->
          Problem.ofLater(
              TOO_MANY_REQUESTS,
              "account-limited",
              "the limits of account " + account + " are exhausted",
              seconds);
      case OVERLOADED ->
          Problem.ofLater(
              UNAVAILABLE,
              "overloaded",
              "the entry has no capacity to start the request in time",
              seconds);
      case QUEUE_FULL ->
          Problem.ofLater(UNAVAILABLE, "queue-full", "too many requests are waiting", seconds);
    };
  }

  private static Disposable repeat(Duration interval, Scheduler scheduler, Runnable task) {
    return Flux.interval(interval, interval, scheduler)
        .onBackpressureDrop()
        .subscribe(
            i -> {
              try {
                task.run();
              } catch (RuntimeException e) {
                LOG.error("admission: periodic task failed", e);
              }
            });
  }
}
