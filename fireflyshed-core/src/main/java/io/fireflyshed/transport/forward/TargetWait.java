package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.state.traffic.RequestKind;
import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * Has a request wait at this entry while its targets are silent. A silent target would read it
 * later, with a time that counts from then; a request that waits here has surely not run, and goes
 * to the first target that goes on.
 */
final class TargetWait {

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestPlacer placer;
  private final AttemptLog log;

  TargetWait(ForwardContext context, RoutedRequest routed, RequestPlacer placer, AttemptLog log) {
    this.context = context;
    this.routed = routed;
    this.placer = placer;
    this.log = log;
  }

  /**
   * Tests whether a request that no target has run may be served soon.
   *
   * @param refusal why it is not sent now, not null
   */
  boolean isWorthwhile(Placement.Refuse refusal) {
    return refusal.cause() == Placement.Cause.UNREACHABLE
        && routed.route().kind() != RequestKind.STREAM
        && !context.reachability().isIsolated()
        && !context.stop().isStopping()
        && getPatience().compareTo(Duration.ZERO) > 0
        && context.validator().isAnySilent(placer.getCandidates());
  }

  /** Waits until a target gives a sign of life, as long as a late response is waited for. */
  Mono<Void> awaitTargets() {
    Duration patience = getPatience();
    log.logWait(patience);
    Mono<Void> sign = context.validator().awaitSign(placer.getCandidates());
    return Mono.firstWithSignal(sign, Mono.delay(patience).then(), context.stop().asMono());
  }

  private Duration getPatience() {
    Duration remaining = routed.getRemainingTime(context.clock().nanoTime());
    Duration patience = routed.route().getLateness().minus(routed.timeout().minus(remaining));
    Duration most = remaining.minus(RequestTimeout.MIN_ATTEMPT_TIME);
    return patience.compareTo(most) < 0 ? patience : most;
  }
}
