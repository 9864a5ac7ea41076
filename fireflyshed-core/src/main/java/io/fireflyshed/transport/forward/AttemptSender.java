package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Flux;

/**
 * Sends the attempts of one request. A request that isn't a stream is sent once its target shows
 * that it responds, with the time that is left then. Another entry whose request it is learns of a
 * target only then: it takes named targets for those that may get the request. Thread safe.
 */
final class AttemptSender {

  /** The fraction of the latency target in which a target must show that it responds. */
  private static final int VALIDATIONS_PER_LATENCY_TARGET = 4;

  /** Several round trips between availability zones. */
  private static final Duration MIN_VALIDATION_TIME = Duration.ofMillis(25);

  /** Far more than a round trip, however long the latency target is. */
  private static final Duration MAX_VALIDATION_TIME = Duration.ofMillis(100);

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final AttemptLog log;
  private final boolean isRelayed;
  private final RelayListener listener;
  private final Set<InstanceId> namedTargets = ConcurrentHashMap.newKeySet();
  private int sentAttempts;
  private boolean isStopped;

  /**
   * Creates a sender.
   *
   * @param listener learns at which targets the request is tried, not null
   */
  AttemptSender(
      ForwardContext context,
      RoutedRequest routed,
      AttemptLog log,
      boolean isRelayed,
      RelayListener listener) {
    this.context = context;
    this.routed = routed;
    this.log = log;
    this.isRelayed = isRelayed;
    this.listener = listener;
  }

  /**
   * Sends an attempt.
   *
   * @param remaining the time that is left now, not null
   * @param lastEventId the id of the event after which a stream resumes, empty for a new one
   * @return the response; it fails with an {@link
   *     io.fireflyshed.coordination.attempt.AttemptException}
   */
  Flux<ResponsePart> send(Target target, Duration remaining, OptionalLong lastEventId) {
    if (!isValidated(context, routed, target)) {
      return sendNow(target, remaining, lastEventId);
    }
    return context
        .validator()
        .validate(target, getValidationTime())
        .thenMany(
            Flux.defer(
                () ->
                    sendNow(
                        target, routed.getRemainingTime(context.clock().nanoTime()), lastEventId)));
  }

  private void onSend(InstanceId target) {
    if (namedTargets.add(target)) {
      listener.onAttempt(target);
    }
  }

  /** Tells the entry whose request it is that a target which it knows did not run the request. */
  void onFailure(InstanceId target, AttemptException error) {
    if (error.getOutcome() != Outcome.NOT_RUN || !namedTargets.contains(target)) {
      return;
    }
    if (error.isUnsent()) {
      listener.onUnreachable(target);
    } else {
      listener.onAttempt(target);
    }
  }

  /** Tests whether a target must show that it responds before a request is sent to it. */
  static boolean isValidated(ForwardContext context, RoutedRequest routed, Target target) {
    // A check might count for the limit of a target that limits its requests.
    return routed.route().kind() != RequestKind.STREAM
        && context.placer().getRequestLimit(target.id()).isEmpty();
  }

  /**
   * Lets no further attempt be sent.
   *
   * @return whether one was sent before
   */
  synchronized boolean stop() {
    isStopped = true;
    return sentAttempts > 0;
  }

  /** Returns the number of an attempt that is sent now, from 1, or 0 if it must not be sent. */
  private synchronized int begin() {
    return isStopped ? 0 : ++sentAttempts;
  }

  private Flux<ResponsePart> sendNow(Target target, Duration remaining, OptionalLong lastEventId) {
    int number = begin();
    if (number == 0) {
      return Flux.never();
    }
    context.metrics().recordAttempt(routed.service());
    log.logStart(
        target.id(),
        remaining,
        lastEventId,
        isRelayed,
        number,
        context.placer().getRequestLimit(target.id()),
        context.placer().getCosts().getExpectedMillis(target.id()));
    return context.client().send(target, routed, remaining, lastEventId, () -> onSend(target.id()));
  }

  private Duration getValidationTime() {
    Duration part = routed.route().latencyTarget().dividedBy(VALIDATIONS_PER_LATENCY_TARGET);
    Duration least = part.compareTo(MIN_VALIDATION_TIME) < 0 ? MIN_VALIDATION_TIME : part;
    return least.compareTo(MAX_VALIDATION_TIME) > 0 ? MAX_VALIDATION_TIME : least;
  }
}
