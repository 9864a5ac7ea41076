package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.ReachabilityMonitor;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Finds out when an entry that lost all its targets reaches them again, and then forgets the
 * failures that its own connection caused. No connection is attempted while the entry reaches its
 * targets. Thread safe.
 */
public final class ReachabilityWatch implements Reachability {

  /** The interval between two connection attempts, longer than one may take. */
  static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  private final ReachabilityMonitor monitor;
  private final Supplier<List<Target>> listedTargets;
  private final Supplier<List<Target>> knownTargets;
  private final TargetPlacer placer;
  private final TargetProbe probe;
  private final UniformRandomProvider random;
  private final MonotonicClock clock;
  private final Counter isolations;
  private final Counter probes;
  private final EventLog log = new EventLog("forward");
  private Disposable probing = Disposables.disposed();

  /**
   * Creates a watch.
   *
   * @param monitor decides whether the entry is isolated, not null
   * @param listedTargets lists the targets of all services that take requests; called on any
   *     thread, not null
   * @param knownTargets lists the targets that are there, including those that take no requests,
   *     such as members of replicas; called on any thread, not null
   * @param placer leaves out targets that failed, not null
   * @param probe tests whether a target can be reached, not null
   * @param random selects the target of a connection attempt, not null
   * @param clock the monotonic clock of this process, not null
   * @param registry registers the counters of isolations and connection attempts, not null
   */
  public ReachabilityWatch(
      ReachabilityMonitor monitor,
      Supplier<List<Target>> listedTargets,
      Supplier<List<Target>> knownTargets,
      TargetPlacer placer,
      TargetProbe probe,
      UniformRandomProvider random,
      MonotonicClock clock,
      MeterRegistry registry) {
    this.monitor = Objects.requireNonNull(monitor, "monitor");
    this.listedTargets = Objects.requireNonNull(listedTargets, "listedTargets");
    this.knownTargets = Objects.requireNonNull(knownTargets, "knownTargets");
    this.placer = Objects.requireNonNull(placer, "placer");
    this.probe = Objects.requireNonNull(probe, "probe");
    this.random = Objects.requireNonNull(random, "random");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.isolations = registry.counter("fireflyshed.reachability.isolations");
    this.probes = registry.counter("fireflyshed.reachability.probes");
    registry.gauge("fireflyshed.reachability.isolated", monitor, m -> m.isIsolated() ? 1 : 0);
  }

  /** Starts the connection attempts, which are made only while they are needed. */
  public void start() {
    probing =
        Flux.interval(PROBE_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> probe())
            .subscribe(
                done -> {},
                e -> log.error("probing terminated; an isolation ends late from now on", e));
  }

  /** Stops the connection attempts. */
  public void stop() {
    probing.dispose();
  }

  private Mono<Void> probe() {
    return Mono.defer(
            () ->
                Mono.justOrEmpty(
                    monitor.selectProbeTarget(listProbeTargets(), random, clock.nanoTime())))
        .flatMap(this::connect)
        .onErrorResume(
            e -> {
              log.error("connection attempt to a target failed unexpectedly", e);
              return Mono.empty();
            });
  }

  /**
   * Lists the targets that show whether the entry reaches any. If none takes requests, as after the
   * last head crashed, the others do: the coordinator pauses while the entry is isolated, so that
   * no target would take requests again.
   */
  private List<Target> listProbeTargets() {
    List<Target> listed = listedTargets.get();
    return listed.isEmpty() ? knownTargets.get() : listed;
  }

  private Mono<Void> connect(Target target) {
    probes.increment();
    return probe
        .connect(target)
        .doOnSuccess(done -> onConnected(target))
        .onErrorResume(
            e -> {
              log.info("target not reached", "target", target.id(), "error", e.getMessage());
              return Mono.empty();
            });
  }

  private void onConnected(Target target) {
    boolean wasImpaired = monitor.isImpaired();
    Set<InstanceId> explained = monitor.onConnected(target.id(), clock.nanoTime());
    placer.forgetFailures(explained);
    if (wasImpaired || !explained.isEmpty()) {
      log.info("targets reachable again", "target", target.id(), "cleared", explained.size());
    }
  }

  @Override
  public void onFailure(InstanceId target) {
    recordIsolation(target, monitor.onFailure(target, countTargets(), clock.nanoTime()));
  }

  @Override
  public void onSilent(InstanceId target) {
    recordIsolation(target, monitor.onSilence(target, countTargets(), clock.nanoTime()));
  }

  private int countTargets() {
    return listedTargets.get().size();
  }

  private void recordIsolation(InstanceId target, boolean isIsolationStart) {
    if (isIsolationStart) {
      isolations.increment();
      log.warn("isolated from all targets", "last_target", target, "targets", countTargets());
    }
  }

  @Override
  public void onSignOfLife() {
    if (monitor.onSignOfLife(clock.nanoTime())) {
      log.info("targets reachable again", "target", "any", "cleared", 0);
    }
  }

  @Override
  public boolean isIsolated() {
    return monitor.isIsolated();
  }

  @Override
  public boolean isImpaired() {
    return monitor.isImpaired();
  }
}
