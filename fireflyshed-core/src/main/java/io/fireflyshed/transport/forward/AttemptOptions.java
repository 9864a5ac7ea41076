package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.state.instance.InstanceId;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/**
 * Decides what may run beside the open attempts of a request, with the limits that hold while these
 * are open. Thread safe.
 */
record AttemptOptions(
    ForwardContext context,
    RoutedRequest routed,
    RequestPlacer placer,
    RetryCharger charger,
    AttemptLog log,
    String peer,
    Set<InstanceId> usedTargets,
    List<OpenAttempt> openAttempts,
    OptionalLong lastEventId,
    BooleanSupplier isAttemptAllowed,
    BooleanSupplier isRelayAllowed)
    implements SuccessorSearch.Options {

  @Override
  public boolean isAllowed() {
    return isAttemptAllowed.getAsBoolean()
        && openAttempts.stream().allMatch(OpenAttempt::isSuccessorAllowed)
        && getRemainingTime().compareTo(RequestTimeout.MIN_ATTEMPT_TIME) >= 0;
  }

  private Set<InstanceId> getExcludedTargets() {
    Set<InstanceId> excluded = new HashSet<>(usedTargets);
    openAttempts.forEach(
        a -> {
          excluded.addAll(a.getRelayed().getTargets());
          excluded.addAll(a.getRelayed().getRejectingTargets());
        });
    return excluded;
  }

  private Duration getRemainingTime() {
    return routed.getRemainingTime(context.clock().nanoTime());
  }

  @Override
  public Placement place() {
    return placer.placeRunning(getExcludedTargets(), isRelayAllowed.getAsBoolean());
  }

  @Override
  public Placement placeHere() {
    return placer.placeRunningHere(getExcludedTargets());
  }

  @Override
  public boolean isRelayable(Placement placement) {
    return placer.isRelayable(placement, getExcludedTargets(), isRelayAllowed.getAsBoolean());
  }

  @Override
  public Mono<AcceptedRelay> offer() {
    return context
        .relay()
        .offer(
            new RelayedRequest(routed, getRemainingTime(), lastEventId, 1, getExcludedTargets()));
  }

  @Override
  public boolean isResponsive(Placement.Send placement) {
    return !AttemptSender.isValidated(context, routed, placement.target())
        || context.validator().isResponsive(placement.target());
  }

  @Override
  public boolean canCharge() {
    return context
        .retryBudgets()
        .canRetry(routed.service(), Outcome.UNKNOWN, context.clock().nanoTime());
  }

  @Override
  public boolean tryCharge() {
    return charger.tryCharge(Outcome.UNKNOWN);
  }

  @Override
  public void onKept(RetryVerdict verdict) {
    log.logKept(peer, verdict);
  }
}
