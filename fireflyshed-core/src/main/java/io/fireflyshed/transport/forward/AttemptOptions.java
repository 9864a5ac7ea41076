package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/**
 * Decides what may follow one attempt of a request, with the limits that hold during the attempt.
 * Thread safe.
 */
record AttemptOptions(
    ForwardContext context,
    RoutedRequest routed,
    RequestPlacer placer,
    AttemptLog log,
    String peer,
    Supplier<Set<InstanceId>> excludedTargets,
    OptionalLong lastEventId,
    BooleanSupplier isReplaceable,
    BooleanSupplier isRelayAllowed)
    implements SuccessorSearch.Options {

  @Override
  public boolean isAllowed() {
    return isReplaceable.getAsBoolean()
        && getRemainingTime().compareTo(AttemptSequence.MIN_ATTEMPT_TIME) >= 0;
  }

  private Duration getRemainingTime() {
    return routed.getRemainingTime(context.clock().nanoTime());
  }

  @Override
  public Placement place() {
    return placer.placeRunning(excludedTargets.get(), isRelayAllowed.getAsBoolean());
  }

  @Override
  public Placement placeHere() {
    return placer.placeRunningHere(excludedTargets.get());
  }

  @Override
  public boolean isRelayable(Placement placement) {
    return placer.isRelayable(
        placement, excludedTargets.get(), isRelayAllowed.getAsBoolean());
  }

  @Override
  public Mono<AcceptedRelay> offer() {
    return context
        .relay()
        .offer(new RelayedRequest(routed, getRemainingTime(), lastEventId, 1, excludedTargets.get()));
  }

  @Override
  public boolean tryCharge() {
    return context
        .retryBudgets()
        .tryRetry(routed.service(), Outcome.UNKNOWN, context.clock().nanoTime());
  }

  @Override
  public void onKept(RetryVerdict verdict) {
    log.logKept(peer, verdict);
  }
}
