package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.admission.RankAdmission;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.StallDetector;
import io.fireflyshed.coordination.placement.TargetPlacer;
import io.fireflyshed.coordination.retry.ServiceRetryBudgets;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import io.fireflyshed.state.traffic.ServiceRanks;
import io.fireflyshed.transport.entry.ShutdownSignal;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Consumer;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;

/**
 * Forwards requests to targets until one returns a complete response or the request can't be
 * served.
 *
 * <p>A request that a target did not run is sent to another target immediately. A request that may
 * have run is sent to another target only if it may be retried. A broken stream is resumed after
 * its last complete event, within the same response to the caller. All retries draw on the retry
 * budget of the service. Requests that aren't streams are sent to targets that respond. While this
 * entry reaches no target that could take a request, another entry forwards it, under the same
 * rules. Thread safe.
 */
public final class Forwarder {

  private final ForwardContext context;
  private final StallWatch stallWatch;
  private final AdmissionGate admission;
  private final StopSignal stop = new StopSignal();
  private final ShutdownSignal shutdown = new ShutdownSignal();

  /**
   * Creates a forwarder of an entry that knows no others and whose memory isn't limited.
   *
   * @param targetView lists the targets, not null
   * @param placer selects targets, not null
   * @param stallDetector detects stalled streams, not null
   * @param client sends requests to targets, not null
   * @param retryBudgets limits the retries at each service, not null
   * @param crashGuard refuses requests that crash targets, not null
   * @param clock the monotonic clock of this process, not null
   * @param stallListener is notified of targets whose streams have all stalled, not null
   * @param registry registers the counters of requests, attempts and retries, not null
   */
  public Forwarder(
      TargetView targetView,
      TargetPlacer placer,
      StallDetector stallDetector,
      TargetClient client,
      ServiceRetryBudgets retryBudgets,
      CrashGuard crashGuard,
      MonotonicClock clock,
      Consumer<InstanceId> stallListener,
      MeterRegistry registry) {
    this(
        targetView,
        placer,
        stallDetector,
        client,
        retryBudgets,
        crashGuard,
        clock,
        stallListener,
        registry,
        Reachability.always(),
        RequestRelay.none(),
        ByteBudget.unlimited(clock));
  }

  /**
   * Creates a forwarder that takes every target for responsive.
   *
   * @param targetView lists the targets, not null
   * @param placer selects targets, not null
   * @param stallDetector detects stalled streams, not null
   * @param client sends requests to targets, not null
   * @param retryBudgets limits the retries at each service, not null
   * @param crashGuard refuses requests that crash targets, not null
   * @param clock the monotonic clock of this process, not null
   * @param stallListener is notified of targets whose streams have all stalled, not null
   * @param registry registers the counters of requests, attempts and retries, not null
   * @param reachability tells whether this entry has lost all targets, not null
   * @param relay has requests forwarded by other entries, not null
   * @param budget counts the bytes that this process holds, not null
   */
  public Forwarder(
      TargetView targetView,
      TargetPlacer placer,
      StallDetector stallDetector,
      TargetClient client,
      ServiceRetryBudgets retryBudgets,
      CrashGuard crashGuard,
      MonotonicClock clock,
      Consumer<InstanceId> stallListener,
      MeterRegistry registry,
      Reachability reachability,
      RequestRelay relay,
      ByteBudget budget) {
    this(
        targetView,
        placer,
        stallDetector,
        client,
        TargetValidator.none(),
        retryBudgets,
        crashGuard,
        clock,
        stallListener,
        registry,
        reachability,
        relay,
        budget);
  }

  /**
   * Creates a forwarder that admits requests of all ranks alike.
   *
   * @param targetView lists the targets, not null
   * @param placer selects targets, not null
   * @param stallDetector detects stalled streams, not null
   * @param client sends requests to targets, not null
   * @param validator finds out whether targets respond, not null
   * @param retryBudgets limits the retries at each service, not null
   * @param crashGuard refuses requests that crash targets, not null
   * @param clock the monotonic clock of this process, not null
   * @param stallListener is notified of targets whose streams have all stalled, not null
   * @param registry registers the counters of requests, attempts and retries, not null
   * @param reachability tells whether this entry has lost all targets, not null
   * @param relay has requests forwarded by other entries, not null
   * @param budget counts the bytes that this process holds, not null
   */
  public Forwarder(
      TargetView targetView,
      TargetPlacer placer,
      StallDetector stallDetector,
      TargetClient client,
      TargetValidator validator,
      ServiceRetryBudgets retryBudgets,
      CrashGuard crashGuard,
      MonotonicClock clock,
      Consumer<InstanceId> stallListener,
      MeterRegistry registry,
      Reachability reachability,
      RequestRelay relay,
      ByteBudget budget) {
    this(
        targetView,
        placer,
        stallDetector,
        client,
        validator,
        retryBudgets,
        crashGuard,
        clock,
        stallListener,
        registry,
        reachability,
        relay,
        budget,
        () -> ServiceRanks.NONE);
  }

  /**
   * Creates a forwarder.
   *
   * @param targetView lists the targets, not null
   * @param placer selects targets, not null
   * @param stallDetector detects stalled streams, not null
   * @param client sends requests to targets, not null
   * @param validator finds out whether targets respond, not null
   * @param retryBudgets limits the retries at each service, not null
   * @param crashGuard refuses requests that crash targets, not null
   * @param clock the monotonic clock of this process, not null
   * @param stallListener is notified of targets whose streams have all stalled, not null
   * @param registry registers the counters of requests, attempts and retries, not null
   * @param reachability tells whether this entry has lost all targets, not null
   * @param relay has requests forwarded by other entries, not null
   * @param budget counts the bytes that this process holds, not null
   * @param ranks gets the services whose requests differ in their ranks, not null
   */
  public Forwarder(
      TargetView targetView,
      TargetPlacer placer,
      StallDetector stallDetector,
      TargetClient client,
      TargetValidator validator,
      ServiceRetryBudgets retryBudgets,
      CrashGuard crashGuard,
      MonotonicClock clock,
      Consumer<InstanceId> stallListener,
      MeterRegistry registry,
      Reachability reachability,
      RequestRelay relay,
      ByteBudget budget,
      Supplier<ServiceRanks> ranks) {
    this.admission = new AdmissionGate(new RankAdmission(placer.getDemands()), ranks, registry);
    this.stallWatch =
        new StallWatch(
            stallDetector, clock, newStallListener(placer, reachability, stallListener, clock));
    this.context =
        new ForwardContext(
            targetView,
            placer,
            stallWatch,
            client,
            validator,
            retryBudgets,
            crashGuard,
            clock,
            new ForwardMetrics(registry),
            reachability,
            relay,
            budget,
            stop,
            shutdown);
  }

  private static StallWatch.Listener newStallListener(
      TargetPlacer placer,
      Reachability reachability,
      Consumer<InstanceId> stallListener,
      MonotonicClock clock) {
    return new StallWatch.Listener() {
      @Override
      public void onSilent(InstanceId target, boolean isNew) {
        placer.onSilent(target, clock.nanoTime());
        if (isNew) {
          reachability.onSilent(target);
        }
      }

      @Override
      public void onStalled(InstanceId target, boolean isNew) {
        placer.suspect(target, clock.nanoTime());
        if (isNew) {
          reachability.onSilent(target);
          stallListener.accept(target);
        }
      }
    };
  }

  /** Starts the periodic check for stalled streams. */
  public void start() {
    stallWatch.start();
  }

  /** Stops the periodic check for stalled streams. */
  public void stop() {
    stallWatch.stop();
  }

  /**
   * Forwards a request.
   *
   * @param routed the request, not null
   * @return the head followed by the body chunks of the response; it fails with a {@link
   *     ForwardException}
   */
  public Flux<ResponsePart> forward(RoutedRequest routed) {
    return Flux.defer(
        () -> {
          context.retryBudgets().onRequest(routed.service(), context.clock().nanoTime());
          context.metrics().recordRequest(routed.service());
          return new AttemptSequence(context, admission.admit(context, routed)).start();
        });
  }

  /**
   * Forwards a request of another entry to targets, within the limits that entry set. It counts as
   * no request of this entry, and no third entry is asked.
   *
   * @param relayed the request, not null
   * @return the head followed by the body chunks of the response; it fails with a {@link
   *     ForwardException}
   */
  public Flux<ResponsePart> forwardRelayed(RelayedRequest relayed) {
    return Flux.defer(
        () -> {
          context.metrics().recordRelayedRequest(relayed.routed().service());
          return new AttemptSequence(context, relayed).start();
        });
  }

  /**
   * Tests whether a request of another entry could be sent to a target now.
   *
   * @param service the service, not null
   * @param pool the pool of the request, see {@link RoutedRequest#getPool()}, not null
   * @param isGeneration whether the request is a generation, whose pool is a model
   * @return false if this entry stops or its connections to targets fail, or no target can be
   *     reached and has capacity
   */
  public boolean canPlace(ServiceName service, String pool, boolean isGeneration) {
    return !stop.isStopping()
        && !context.reachability().isImpaired()
        && context.targetView().isRead()
        && context
            .placer()
            .isPlaceable(
                context.getCandidates(service, pool, isGeneration),
                isGeneration,
                context.clock().nanoTime());
  }

  /**
   * Refuses further requests of other entries, and rejects those that wait for a target, as this
   * entry stops. Other entries may serve them.
   */
  public void beginStop() {
    stop.give();
  }

  /**
   * Gets the signal that ends the requests of callers with an error, except those whose response is
   * whole by then. Requests of other entries go on.
   *
   * @return the signal, never null
   */
  public ShutdownSignal getShutdownSignal() {
    return shutdown;
  }
}
