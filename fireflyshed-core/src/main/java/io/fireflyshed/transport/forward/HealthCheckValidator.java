package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.LifeSigns;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Validates targets by a health check if they sent nothing for a moment.
 *
 * <p>One check a target is under way at a time. A target that doesn't answer it in time gets no
 * requests until it sends something. A target may serve requests without answering checks: if all
 * targets of a request have been silent for long, one of them is tried without a check, and is no
 * longer asked once it responded, until it answers a check. Thread safe.
 */
public final class HealthCheckValidator implements TargetValidator {

  /**
   * The age up to which a sign of life shows that a target responds, about a round trip between
   * availability zones. What is sent within it to a target that was suspended meanwhile is read
   * when the target goes on.
   */
  private static final Duration MAX_SIGN_AGE = Duration.ofMillis(5);

  /** The same for a successor, which is looked for every 50 ms and validated when it starts. */
  private static final Duration MAX_SUCCESSOR_SIGN_AGE = Duration.ofMillis(100);

  /** The silence after which a target is tried without a check; longer than sound targets pause. */
  private static final Duration MIN_TRIAL_SILENCE = Duration.ofSeconds(3);

  /** The time between two trials of a target. */
  private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(4);

  /** The pause after an attempt without a response before another request that waits is sent. */
  private static final Duration RELEASE_PAUSE = Duration.ofMillis(50);

  /**
   * The requests that a complete response releases of those that wait, so that twice as many are
   * sent each time, as by the slow start of a connection.
   */
  private static final int RELEASES_PER_RESPONSE = 2;

  /** Limits the targets that are asked at once after one turned out silent. */
  private static final int MAX_ASKED_TARGETS = 16;

  private static final String STEP = "forward";

  /** A check that was not answered yet. Thread safe. */
  private static final class Check {
    private final long startNanos;
    private final long sentNanos;
    private long waitNanos;
    private Sinks.Empty<Void> sign = Sinks.empty();
    private boolean hasSign;
    private boolean isSilent;

    Check(long startNanos, long sentNanos) {
      this.startNanos = startNanos;
      this.sentNanos = sentNanos;
      this.waitNanos = sentNanos;
    }

    /** Returns the check that follows one that was not answered in the longest time. */
    synchronized Check newSuccessor(long nowNanos) {
      Check successor = new Check(startNanos, nowNanos);
      successor.waitNanos = waitNanos;
      successor.hasSign = hasSign;
      successor.isSilent = isSilent;
      return successor;
    }

    /** Tests whether the check was sent so long ago that a failure is a missing answer. */
    boolean isUnanswered(long nowNanos) {
      return nowNanos - sentNanos > MIN_TRIAL_SILENCE.toNanos();
    }

    /** Returns the time since the target was first asked. */
    Duration getAge(long nowNanos) {
      return Duration.ofNanos(nowNanos - startNanos);
    }

    /** Returns the time for which requests have waited for a sign of life of the target. */
    synchronized Duration getWait(long nowNanos) {
      if (hasSign) {
        hasSign = false;
        waitNanos = nowNanos;
      }
      return Duration.ofNanos(nowNanos - waitNanos);
    }

    /** Returns the next sign of life of the target, or the end of the check. */
    synchronized Mono<Void> getSign() {
      return sign.asMono();
    }

    /**
     * Records a sign of life. The check goes on if it is not answered, as the sign may be older.
     *
     * @return whether the target was silent
     */
    synchronized boolean onSign() {
      boolean wasSilent = isSilent;
      isSilent = false;
      hasSign = true;
      sign.tryEmitEmpty();
      sign = Sinks.empty();
      return wasSilent;
    }

    /** Records that the target is silent; returns whether it wasn't known. */
    synchronized boolean onSilent() {
      boolean isNew = !isSilent;
      isSilent = true;
      return isNew;
    }

    synchronized boolean isSilent() {
      return isSilent;
    }

    /** Tests whether the target gave a sign of life since the last test of the wait. */
    synchronized boolean hasSign() {
      return hasSign;
    }
  }

  /** A request that waits until one of its targets goes on. */
  private record Waiter(Set<InstanceId> targets, Sinks.Empty<Void> released) {}

  private final HealthCheck healthCheck;
  private final TargetProbe probe;
  private final TargetPlacer placer;
  private final Reachability reachability;
  private final MonotonicClock clock;
  private final LifeSigns signs = new LifeSigns();
  private final Map<InstanceId, Check> checks = new ConcurrentHashMap<>();

  /** The targets that responded to requests while a check was not answered for long. */
  private final Set<InstanceId> uncheckable = ConcurrentHashMap.newKeySet();

  private final Map<InstanceId, Long> trialNanos = new ConcurrentHashMap<>();

  /** The targets that the next request is sent to without a check. */
  private final Set<InstanceId> trials = ConcurrentHashMap.newKeySet();

  /** The requests that wait until one of their targets goes on, the first one first. */
  private final Collection<Waiter> waiters = new ConcurrentLinkedQueue<>();

  private final Counter started;
  private final Counter silences;
  private final EventLog log = new EventLog(STEP);

  /**
   * Creates a validator.
   *
   * @param healthCheck asks targets, not null
   * @param probe tests whether a silent target can be reached, not null
   * @param placer leaves out targets that are silent, not null
   * @param reachability is told of targets that this entry may not reach, not null
   * @param clock the monotonic clock of this process, not null
   * @param registry registers the counters of checks and silent targets, not null
   */
  public HealthCheckValidator(
      HealthCheck healthCheck,
      TargetProbe probe,
      TargetPlacer placer,
      Reachability reachability,
      MonotonicClock clock,
      MeterRegistry registry) {
    this.healthCheck = Objects.requireNonNull(healthCheck, "healthCheck");
    this.probe = Objects.requireNonNull(probe, "probe");
    this.placer = Objects.requireNonNull(placer, "placer");
    this.reachability = Objects.requireNonNull(reachability, "reachability");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.started = registry.counter("fireflyshed.forward.health.checks");
    this.silences = registry.counter("fireflyshed.forward.silent.targets");
  }

  @Override
  public Mono<Void> validate(Target target, Duration maxWait) {
    return Mono.defer(
        () -> {
          long now = clock.nanoTime();
          if (trials.remove(target.id()) || isResponsive(target, MAX_SIGN_AGE, now)) {
            return Mono.empty();
          }
          Check check = getCheck(target, now);
          Duration left = maxWait.minus(check.getWait(now));
          return left.isNegative() || left.isZero()
              ? newSilentError(target, check)
              : check.getSign().timeout(left, Mono.defer(() -> newSilentError(target, check)));
        });
  }

  @Override
  public boolean isResponsive(Target target) {
    return isResponsive(target, MAX_SUCCESSOR_SIGN_AGE, clock.nanoTime());
  }

  /** Tests whether a request may be sent without waiting for a check, and starts one if not. */
  private boolean isResponsive(Target target, Duration maxSignAge, long now) {
    InstanceId id = target.id();
    if (!healthCheck.isAvailable(target) || signs.isRecent(id, maxSignAge, now)) {
      return true;
    }
    Check check = getCheck(target, now);
    return checks.get(id) != check || uncheckable.contains(id);
  }

  /** Returns the check of a target that is under way, and starts one if there is none. */
  private Check getCheck(Target target, long now) {
    Check created = new Check(now, now);
    Check pending = checks.putIfAbsent(target.id(), created);
    if (pending != null) {
      return pending;
    }
    start(target, created);
    return created;
  }

  private void start(Target target, Check check) {
    started.increment();
    healthCheck
        .check(target)
        .subscribe(
            done -> {}, e -> onFailed(target, check, e), () -> onAnswered(target.id(), check));
  }

  private Mono<Void> newSilentError(Target target, Check check) {
    InstanceId id = target.id();
    if (isOver(id, check)) {
      return Mono.empty();
    }
    boolean isNew = check.onSilent();
    placer.onSilent(id, clock.nanoTime());
    if (isOver(id, check)) {
      // The sign of life may have been recorded before the silence.
      placer.onSignOfLife(id);
      return Mono.empty();
    }
    if (isNew) {
      silences.increment();
      log.info("target answers no health check", "target", id);
      findPath(target);
    }
    return Mono.error(
        new TargetSilentException(STEP, id.value(), "the target gives no sign of life", isNew));
  }

  /** Finds out whether the path to a silent target is cut; a suspended one accepts connections. */
  private void findPath(Target target) {
    probe
        .connect(target)
        .subscribe(
            done -> {},
            e -> {
              log.info("silent target not reached", "target", target.id(), "error", e.getMessage());
              reachability.onFailure(target.id());
            });
  }

  private boolean isOver(InstanceId target, Check check) {
    return checks.get(target) != check || check.hasSign();
  }

  private void onAnswered(InstanceId target, Check check) {
    uncheckable.remove(target);
    checks.remove(target, check);
    signs.onSign(target, clock.nanoTime());
    reachability.onSignOfLife();
    end(target, check);
    releaseNext(target);
  }

  /** Asks again, or lets the requests that wait find out for themselves why the check failed. */
  private void onFailed(Target target, Check check, Throwable error) {
    InstanceId id = target.id();
    long now = clock.nanoTime();
    log.info("health check failed", "target", id, "error", error.getMessage());
    if (check.isUnanswered(now)) {
      Check successor = check.newSuccessor(now);
      if (checks.replace(id, check, successor)) {
        start(target, successor);
      }
      return;
    }
    checks.remove(id, check);
    end(id, check);
    releaseNext(id);
    if (error instanceof TargetUnreachableException) {
      placer.onUnreachable(id, now);
      reachability.onFailure(id);
    }
  }

  /** Lets requests that wait for a target be sent. */
  private void end(InstanceId target, Check check) {
    if (check.onSign()) {
      placer.onSignOfLife(target);
    }
  }

  /**
   * Releases a request that waits for a target. A target isn't sent everything that waits in the
   * moment in which it goes on.
   */
  private void releaseNext(InstanceId target) {
    for (Waiter waiter : waiters) {
      if (waiter.targets().contains(target) && waiters.remove(waiter)) {
        waiter.released().tryEmitEmpty();
        return;
      }
    }
  }

  @Override
  public void ask(Collection<Target> targets) {
    targets.stream()
        .filter(t -> !checks.containsKey(t.id()))
        .limit(MAX_ASKED_TARGETS)
        .forEach(this::isResponsive);
  }

  @Override
  public boolean isAnySilent(Collection<Target> targets) {
    return targets.stream().map(t -> checks.get(t.id())).anyMatch(c -> c != null && c.isSilent());
  }

  @Override
  public Mono<Void> awaitSign(Collection<Target> targets) {
    return Mono.defer(
        () -> {
          Set<InstanceId> ids = targets.stream().map(Target::id).collect(Collectors.toSet());
          Waiter waiter = new Waiter(ids, Sinks.empty());
          waiters.add(waiter);
          if (!isAnySilent(targets)) {
            // All of them went on since the caller tested it.
            waiter.released().tryEmitEmpty();
          }
          return waiter.released().asMono().doFinally(signal -> waiters.remove(waiter));
        });
  }

  @Override
  public Optional<Target> takeTrial(Collection<Target> targets) {
    long now = clock.nanoTime();
    return targets.stream().filter(t -> isTrialDue(t, now)).findFirst().map(this::addTrial);
  }

  private boolean isTrialDue(Target target, long now) {
    Check check = checks.get(target.id());
    Long last = trialNanos.get(target.id());
    // A target that must not be asked is used in turns, which a trial would not keep.
    return check != null
        && check.isSilent()
        && healthCheck.isAvailable(target)
        && check.getAge(now).compareTo(MIN_TRIAL_SILENCE) > 0
        && (last == null || now - last > TRIAL_INTERVAL.toNanos());
  }

  private Target addTrial(Target target) {
    trialNanos.put(target.id(), clock.nanoTime());
    trials.add(target.id());
    log.info("silent target is tried without a health check", "target", target.id());
    return target;
  }

  @Override
  public void onSignOfLife(InstanceId target, LifeSign sign) {
    if (sign != LifeSign.LONG_RESPONSE) {
      recordSign(target);
    }
    if (sign == LifeSign.REJECTION) {
      onBroken(target);
    }
    boolean isResponse = sign == LifeSign.RESPONSE || sign == LifeSign.LONG_RESPONSE;
    for (int i = 0; isResponse && i < RELEASES_PER_RESPONSE; i++) {
      releaseNext(target);
    }
  }

  @Override
  public void onBroken(InstanceId target) {
    Mono.delay(RELEASE_PAUSE).subscribe(t -> releaseNext(target));
  }

  private void recordSign(InstanceId target) {
    long now = clock.nanoTime();
    signs.onSign(target, now);
    Check check = checks.get(target);
    if (check != null) {
      if (check.getAge(now).compareTo(MIN_TRIAL_SILENCE) > 0) {
        uncheckable.add(target);
      }
      end(target, check);
    }
  }

  @Override
  public void onListed(Set<InstanceId> listed) {
    signs.retain(listed);
    uncheckable.retainAll(listed);
    trials.retainAll(listed);
    trialNanos.keySet().retainAll(listed);
    checks.keySet().retainAll(listed);
    // A target that wasn't listed before may take what waits for others.
    List.copyOf(waiters).forEach(waiter -> waiter.released().tryEmitEmpty());
  }
}
