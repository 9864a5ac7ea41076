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
 * Lets requests in within the limits of their accounts, fairly and up to the capacity of the entry.
 *
 * <p>A request that can't start in time fails at once with a problem that says when to come back.
 * Thread safe.
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
  private final AdmissionControl<Ticket> control;
  private final Disposable.Composite timers = Disposables.composite();

  /** One request that waits or runs. */
  private final class Ticket {

    private final AdmissionRequest request;
    private final MonoSink<Permit> sink;
    private final AtomicBoolean isReleased = new AtomicBoolean();
    private long startNanos;
    private boolean isRunning;

    Ticket(AdmissionRequest request, MonoSink<Permit> sink) {
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

    /** Gives up the place in the queue, or the permission if it was just given. */
    void cancel() {
      boolean isStarted;
      synchronized (lock) {
        control.cancel(this);
        isStarted = isRunning;
      }
      if (isStarted) {
        release();
      }
    }
  }

  /**
   * Creates an admission that does nothing at intervals until it is started.
   *
   * @param settings the limits, not null
   * @param capacity gets how many requests this entry may run at the same time, not null
   * @param bus carries notices to peers, not null
   * @param clock the clock of this process, not null
   */
  public QueueingAdmission(
      LimitSettings settings, IntSupplier capacity, PeerBus bus, MonotonicClock clock) {
    this.bus = Objects.requireNonNull(bus, "bus");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.capacity = Objects.requireNonNull(capacity, "capacity");
    control = new AdmissionControl<>(bus.getSelf(), settings, clock.nanoTime());
    bus.subscribe(this::onNotice);
  }

  /**
   * Starts to poll the queue and to exchange shares with peers.
   *
   * @param scheduler runs the timers, not null
   */
  public void start(Scheduler scheduler) {
    timers.add(repeat(POLL_INTERVAL, scheduler, this::poll));
    timers.add(repeat(TICK_INTERVAL, scheduler, this::tick));
  }

  @Override
  public Mono<Permit> admit(AdmissionRequest request) {
    Objects.requireNonNull(request, "request");
    return Mono.create(
        sink -> {
          Ticket ticket = new Ticket(request, sink);
          sink.onCancel(ticket::cancel);
          synchronized (lock) {
            control.setCapacity(Math.max(1, capacity.getAsInt()));
            Duration patience = request.timeout().orElse(Duration.ofNanos(Long.MAX_VALUE));
            control.offer(
                request.account(), request.priority(), patience, ticket, clock.nanoTime());
          }
          poll();
        });
  }

  @Override
  public void close() {
    timers.dispose();
  }

  /** Lets in or refuses what is due. */
  void poll() {
    List<Verdict<Ticket>> verdicts;
    synchronized (lock) {
      long now = clock.nanoTime();
      control.setCapacity(Math.max(1, capacity.getAsInt()));
      verdicts = control.poll(now);
      for (Verdict<Ticket> verdict : verdicts) {
        verdict.request().startNanos = now;
        verdict.request().isRunning = verdict.refusal().isEmpty();
      }
    }
    verdicts.forEach(QueueingAdmission::tell);
  }

  /** Exchanges shares with peers and gives up requests that can't start in time. */
  void tick() {
    List<ShareDemand> demands;
    synchronized (lock) {
      demands = control.tick(bus.getLivePeers(), clock.nanoTime());
    }
    demands.forEach(d -> bus.send(d.receiver(), d));
    poll();
  }

  private void onNotice(PeerNotice notice) {
    Optional<ShareGrant> answer;
    synchronized (lock) {
      answer = control.onNotice(notice, clock.nanoTime());
    }
    answer.ifPresent(grant -> bus.send(grant.receiver(), grant));
  }

  private static void tell(Verdict<Ticket> verdict) {
    Ticket ticket = verdict.request();
    if (verdict.refusal().isPresent()) {
      ticket.sink.error(new ProblemException(toProblem(ticket, verdict.refusal().get())));
    } else {
      ticket.sink.success(tokens -> ticket.release());
    }
  }

  private static Problem toProblem(Ticket ticket, Refusal refusal) {
    int seconds = (int) refusal.retryAfter().toSeconds();
    String account = ticket.request.account();
    return switch (refusal.reason()) {
      case LIMITED ->
          Problem.ofLater(
              TOO_MANY_REQUESTS,
              "account-limited",
              "the limits of account " + account + " are used up",
              seconds);
      case OVERLOADED ->
          Problem.ofLater(
              UNAVAILABLE, "overloaded", "the request would not start in time", seconds);
      case QUEUE_FULL ->
          Problem.ofLater(UNAVAILABLE, "queue-full", "too many requests wait", seconds);
    };
  }

  private static Disposable repeat(Duration interval, Scheduler scheduler, Runnable step) {
    return Flux.interval(interval, interval, scheduler)
        .onBackpressureDrop()
        .subscribe(
            i -> {
              try {
                step.run();
              } catch (RuntimeException e) {
                LOG.error("admission: step failed", e);
              }
            });
  }
}
