package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.traffic.TrafficRequest;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.state.traffic.Route;
import java.time.Duration;
import java.util.OptionalInt;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Knows when a request times out or a shutdown ends it, and how it fails then. */
final class RequestTimeout {

  /** No attempt starts with less remaining time, since no target can respond within it. */
  static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

  /** The deadline of requests that state none. */
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

  /** The interval of {@link #awaitLastMoment}. */
  private static final Duration LAST_INTERVAL = Duration.ofMillis(5);

  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final AttemptHistory history;
  private final AttemptLog log;
  private final OptionalInt grantedAttempts;

  /**
   * Creates the timeout of a request.
   *
   * @param grantedAttempts the number of attempts that another entry grants, empty for a request of
   *     a caller of this entry
   */
  RequestTimeout(
      ForwardContext context,
      RoutedRequest routed,
      AttemptHistory history,
      AttemptLog log,
      OptionalInt grantedAttempts) {
    this.context = context;
    this.routed = routed;
    this.history = history;
    this.log = log;
    this.grantedAttempts = grantedAttempts;
  }

  /** Returns the time from the arrival of a request after which it fails. */
  static Duration get(TrafficRequest request, Route route) {
    Duration deadline = request.deadline().orElse(DEFAULT_DEADLINE);
    return deadline.compareTo(route.timeout()) < 0 ? deadline : route.timeout();
  }

  /** Tests whether no target can respond in time to a request that arrived some time ago. */
  static boolean isOver(TrafficRequest request, Route route, Duration age) {
    return get(request, route).minus(age).compareTo(MIN_ATTEMPT_TIME) < 0;
  }

  Duration getRemainingTime() {
    return routed.getRemainingTime(context.clock().nanoTime());
  }

  /** Returns the time after which a number of attempts of a lookup are late. */
  Duration getLookupTimeout(int attempts) {
    return routed.route().getLateness().multipliedBy(attempts);
  }

  /**
   * Tests whether further targets may get the request. The entry that relayed a lookup sends it to
   * another target after this time, and no target may get it twice.
   */
  boolean isInTime() {
    Duration elapsed = routed.timeout().minus(getRemainingTime());
    return grantedAttempts.isEmpty()
        || routed.route().kind() != RequestKind.IDEMPOTENT
        || elapsed.compareTo(getLookupTimeout(grantedAttempts.getAsInt())) < 0;
  }

  /** Returns a signal that emits when the request times out or a shutdown ends it. */
  Mono<?> await() {
    Mono<Long> delay = Mono.delay(getRemainingTime());
    return isOfCaller() ? context.shutdown().or(delay) : delay;
  }

  private boolean isOfCaller() {
    return grantedAttempts.isEmpty();
  }

  /** Returns a signal that emits just before the request times out, again and again until then. */
  Flux<Long> awaitLastMoment() {
    return Flux.interval(getRemainingTime().minus(MIN_ATTEMPT_TIME), LAST_INTERVAL)
        .onBackpressureDrop();
  }

  /**
   * Creates the error of a request that timed out, which is logged, or that a shutdown ended.
   *
   * @param isStarted whether an attempt has started, so that a target may run the request
   */
  ForwardException newException(boolean isStarted) {
    Outcome outcome = isStarted ? history.getOutcome().join(Outcome.UNKNOWN) : Outcome.NOT_RUN;
    if (isOfCaller() && context.shutdown().isFired()) {
      return ForwardException.ofShutdown(outcome);
    }
    log.logTimeout(history.getTriedTargets(), outcome);
    return new ForwardException(
        "forward", "entry", "the timeout of the request expired", outcome, RETRY_AFTER, true);
  }
}
