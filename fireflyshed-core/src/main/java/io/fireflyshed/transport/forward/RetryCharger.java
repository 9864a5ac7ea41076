package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.state.instance.InstanceId;
import java.util.Set;

/** Charges the retry budget for the attempts of one request. Thread safe. */
final class RetryCharger {

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestPlacer placer;

  /** Whether the retry budget didn't suffice after a relay that did not run the request. */
  private volatile boolean isDeniedAfterRelay;

  RetryCharger(ForwardContext context, RoutedRequest routed, RequestPlacer placer) {
    this.context = context;
    this.routed = routed;
    this.placer = placer;
  }

  /**
   * Decides whether a failed attempt is retried, and charges the budget if it is.
   *
   * @param error the error of the attempt, not null
   * @param next the placement of the next attempt, not null
   * @param excluded the targets that another entry must not try, not null
   * @param isRelayAllowed whether another entry may be asked
   */
  RetryVerdict charge(
      AttemptException error, Placement next, Set<InstanceId> excluded, boolean isRelayAllowed) {
    if (context.crashGuard().getRefusal(routed.getFingerprints()).isPresent()) {
      return RetryVerdict.REFUSED;
    }
    if (next instanceof Placement.Refuse && !placer.isRelayable(next, excluded, isRelayAllowed)) {
      return RetryVerdict.NO_TARGET;
    }
    // An attempt that reached no target put no load on one, so its retry costs no budget.
    if (error.isUnsent()) {
      return RetryVerdict.FREE;
    }
    return tryCharge(error.getOutcome()) ? RetryVerdict.CHARGED : RetryVerdict.NO_BUDGET;
  }

  /** Charges the budget after an entry that accepted the request didn't run it. */
  boolean tryChargeAfterRelay() {
    boolean isCharged = tryCharge(Outcome.NOT_RUN);
    isDeniedAfterRelay = !isCharged;
    context
        .metrics()
        .recordRelayNotRun(
            routed.service(), isCharged ? RetryVerdict.CHARGED : RetryVerdict.NO_BUDGET);
    return isCharged;
  }

  /** Tests whether the last charge after a relay that did not run the request was denied. */
  boolean isDeniedAfterRelay() {
    return isDeniedAfterRelay;
  }

  /** Charges the budget for an attempt that follows one with the given outcome, if it suffices. */
  boolean tryCharge(Outcome failedOutcome) {
    return context
        .retryBudgets()
        .tryRetry(routed.service(), failedOutcome, context.clock().nanoTime());
  }

  /**
   * Takes back the charge for an attempt that was not sent to its silent target, if there is one.
   */
  void refund(OpenAttempt attempt, AttemptException error) {
    if (error instanceof TargetSilentException && attempt.isCharged()) {
      context.retryBudgets().refund(routed.service(), context.clock().nanoTime());
    }
  }
}
