package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.transport.entry.StreamUtils;
import io.fireflyshed.transport.log.EventLog;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Makes the attempts of one request at targets and, where none can be reached, through other
 * entries. Its methods are never called concurrently.
 */
final class AttemptSequence {

  /** Limits the retries of attempts that did not run, which the route's limit doesn't count. */
  private static final int MAX_NOT_RUN_RETRIES = 3;

  /** No attempt starts with less remaining time, since no target can respond within it. */
  private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

  /**
   * The multiple of the route's latency target after which an idempotent request without a complete
   * response is sent to another target.
   */
  private static final int LATENCY_TARGETS_PER_ATTEMPT = 3;

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

  /** The retry delay while the targets aren't known yet; reading them takes a few milliseconds. */
  private static final Duration RETRY_AFTER_NOT_READ = Duration.ofMillis(200);

  /** Limits the entries that are asked to forward a request, besides this one. */
  private static final int MAX_RELAYS = 2;

  /**
   * The time that an entry has beyond the latency limit of an attempt to return an idempotent
   * response; a multiple of the round trip between entries.
   */
  private static final Duration RELAY_MARGIN = Duration.ofMillis(200);

  /** Leaves parts that the caller doesn't take yet in the connection. */
  private static final int PREFETCHED_PARTS = 4;

  private static final String STEP = "forward";
  private static final String RELAY_STEP = "relay";
  private static final String RELAY_PEER = "entry";

  private static final EventLog LOG = new EventLog("forward");

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestFingerprints fingerprints;
  private final AttemptLog log;
  private final boolean isStream;
  private final Set<InstanceId> triedTargets = new HashSet<>();

  /**
   * The tried targets that another entry need not try. Those that this entry lost contact with are
   * not among them: they may be sound, and the other entry knows better.
   */
  private final Set<InstanceId> excludedTargets = new HashSet<>();

  private final CallerStream stream;
  private final int maxAttempts;
  private final boolean isRelayed;
  private Outcome outcome = Outcome.NOT_RUN;
  private int possibleRuns;
  private int notRunAttempts;
  private int sentAttempts;
  private int relays;

  /** Whether an attempt of this request failed as when the path to its target is cut. */
  private boolean hasLostContact;

  private StreamAttempt attempt;
  private List<ResponsePart> errorResponse = List.of();
  private final ResponseMemory memory;

  /** Whether parts of a response that isn't a stream were passed on. */
  private boolean isPassedOn;

  /** Creates the attempts for a caller of this entry. */
  AttemptSequence(ForwardContext context, RoutedRequest routed) {
    this(context, routed, routed.request().lastEventId(), routed.route().maxAttempts(), false);
  }

  /** Creates the attempts for another entry. */
  AttemptSequence(ForwardContext context, RelayedRequest relayed) {
    this(
        context,
        relayed.routed().withTimeout(context.clock().nanoTime(), relayed.remaining()),
        relayed.lastEventId(),
        relayed.maxAttempts(),
        true);
    triedTargets.addAll(relayed.excludedTargets());
  }

  private AttemptSequence(
      ForwardContext context,
      RoutedRequest routed,
      OptionalLong lastEventId,
      int maxAttempts,
      boolean isRelayed) {
    this.context = context;
    this.routed = routed;
    this.fingerprints = routed.getFingerprints();
    this.log = new AttemptLog(routed, fingerprints);
    this.isStream = routed.route().kind() == RequestKind.STREAM;
    this.stream = new CallerStream(lastEventId);
    this.attempt = stream.newAttempt(RELAY_PEER);
    this.maxAttempts = maxAttempts;
    this.isRelayed = isRelayed;
    this.memory = new ResponseMemory(context.budget(), routed.route().name());
  }

  /**
   * Makes attempts until one succeeds, the request is refused or its timeout has passed.
   *
   * @return the head followed by the body chunks of the response; it fails with a {@link
   *     ForwardException}
   */
  Flux<ResponsePart> start() {
    Duration remaining = routed.getRemainingTime(context.clock().nanoTime());
    return StreamUtils.failOn(
            Flux.defer(() -> proceed(placeNext())),
            Mono.delay(remaining),
            this::newTimeoutException)
        .doFinally(signal -> memory.close());
  }

  private Placement placeNext() {
    long now = context.clock().nanoTime();
    Optional<Duration> refusal = context.crashGuard().getRefusal(fingerprints);
    if (refusal.isPresent()) {
      return new Placement.Refuse(
          Placement.Cause.NOT_PERMITTED,
          "the request crashes the targets that run it",
          refusal.get());
    }
    if (!context.targetView().isRead()) {
      return new Placement.Refuse(
          Placement.Cause.NOT_PERMITTED,
          "the list of targets has not been read yet",
          RETRY_AFTER_NOT_READ);
    }
    if (isRelayed && context.isRefusingRelayed().getAsBoolean()) {
      return new Placement.Refuse(
          Placement.Cause.NOT_PERMITTED, "the entry stops", RETRY_AFTER_FAILURE);
    }
    if (isElsewherePreferred() && !getCandidates().isEmpty()) {
      return new Placement.Refuse(
          Placement.Cause.UNREACHABLE, "this entry reaches no target", RETRY_AFTER_FAILURE);
    }
    return context
        .placer()
        .place(routed.getPool(), getCandidates(), triedTargets, isGeneration(), now);
  }

  /**
   * Tests whether another entry should send the request to a target. An impaired entry may have
   * sound connections, on which its own requests may succeed at the first attempt.
   */
  private boolean isElsewherePreferred() {
    Reachability reachability = context.reachability();
    if (isRelayed) {
      return reachability.isImpaired();
    }
    return isRelayAllowed()
        && (reachability.isIsolated() || hasLostContact && reachability.isImpaired());
  }

  private boolean isGeneration() {
    return routed.request().prompt().isPresent();
  }

  private List<Target> getCandidates() {
    return context.getCandidates(routed.service(), routed.getPool(), isGeneration());
  }

  private boolean isRelayAllowed() {
    return !isRelayed && relays < MAX_RELAYS && context.relay().isAvailable();
  }

  private boolean isRelayable(Placement placement) {
    return placement instanceof Placement.Refuse refusal
        && refusal.cause() == Placement.Cause.UNREACHABLE
        && isRelayAllowed();
  }

  private Flux<ResponsePart> proceed(Placement placement) {
    Duration remaining = routed.getRemainingTime(context.clock().nanoTime());
    if (remaining.compareTo(MIN_ATTEMPT_TIME) < 0) {
      return Flux.error(newTimeoutException());
    }
    if (placement instanceof Placement.Refuse refusal) {
      return isRelayable(refusal) ? relay(refusal, remaining) : refuse(refusal);
    }
    return send(((Placement.Send) placement).target(), remaining);
  }

  /** Tests whether a target returned an error response that can still be sent to the caller. */
  private boolean hasErrorResponse() {
    return !errorResponse.isEmpty() && !stream.isHeadSent() && !isPassedOn;
  }

  private Flux<ResponsePart> refuse(Placement.Refuse refusal) {
    if (hasErrorResponse()) {
      return Flux.fromIterable(errorResponse);
    }
    log.logRefusal(refusal, getCandidates().size(), triedTargets, outcome);
    return Flux.error(
        new ForwardException(
            "place", "entry", refusal.reason(), outcome, refusal.retryAfter(), false));
  }

  private Flux<ResponsePart> send(Target target, Duration remaining) {
    triedTargets.add(target.id());
    sentAttempts++;
    attempt = stream.newAttempt(target.id().value());
    memory.start(target.id().value());
    context.placer().onStart(target.id());
    context.metrics().recordAttempt(routed.service());
    log.logStart(
        target.id(),
        remaining,
        stream.getLastEventId(),
        isRelayed,
        sentAttempts,
        context.placer().getRequestLimit(target.id()));
    Flux<ResponsePart> parts =
        onceCallerIsThere(
                () -> context.client().send(target, routed, remaining, stream.getLastEventId()))
            .doOnNext(this::onPart);
    Flux<ResponsePart> response =
        isStream ? streamResponse(target, parts) : collectResponse(target, parts);
    return response
        .doFinally(
            signal ->
                context.placer().onEnd(routed.getPool(), target.id(), context.clock().nanoTime()))
        .onErrorResume(AttemptException.class, e -> handleFailure(target, e));
  }

  /**
   * Starts an attempt unless the caller turns out to have left, which cancels it. An entry that is
   * behind may have read the request, and not yet that its connection was closed.
   */
  private Flux<ResponsePart> onceCallerIsThere(Supplier<Flux<ResponsePart>> start) {
    return routed.caller().awaitReads().thenMany(Flux.defer(start));
  }

  private void onPart(ResponsePart part) {
    context.reachability().onSignOfLife();
    if (part instanceof ResponsePart.Head && !routed.route().isRetryable()) {
      // The target ran the request, which can't be sent again.
      routed.body().close();
    }
  }

  /** Holds a response that is not a stream, as far as it is short, so that it can be replaced. */
  private Flux<ResponsePart> collectResponse(Target target, Flux<ResponsePart> parts) {
    Duration timeout = routed.route().latencyTarget().multipliedBy(LATENCY_TARGETS_PER_ATTEMPT);
    boolean[] isSuccess = new boolean[1];
    Flux<ResponsePart> recorded =
        parts.doOnNext(
            part -> {
              if (part instanceof ResponsePart.Head head) {
                recordLoad(target, head.response());
                isSuccess[0] = head.response().isSuccess();
              }
            });
    return hold(
            target.id().value(),
            recorded,
            timeout,
            () ->
                newTargetLostException(
                    target, "no complete response within " + timeout.toMillis() + " ms"))
        .doOnComplete(
            () -> context.placer().onResult(target.id(), isSuccess[0], context.clock().nanoTime()));
  }

  /**
   * Holds a response until it is complete or too long.
   *
   * @param peer the target or entry that responds
   * @param parts the parts of the response
   * @param timeout the time for which an idempotent request waits for it, unless it is passed on
   * @param newLateException supplies the error with which the attempt fails then
   */
  private Flux<ResponsePart> hold(
      String peer,
      Flux<ResponsePart> parts,
      Duration timeout,
      Supplier<Throwable> newLateException) {
    boolean hasBody = !routed.request().method().equals(HttpMethod.HEAD);
    HeldResponse held = new HeldResponse(peer, memory, routed.route().isRetryable(), hasBody);
    Flux<ResponsePart> limitedParts =
        routed.route().kind() == RequestKind.IDEMPOTENT
            ? StreamUtils.failOn(
                parts, Mono.delay(timeout).filter(t -> !held.isPassedOn()), newLateException)
            : parts;
    return limitedParts
        .concatMapIterable(part -> add(held, part), PREFETCHED_PARTS)
        .concatWith(Flux.defer(() -> end(peer, held)));
  }

  private Flux<ResponsePart> end(String peer, HeldResponse held) {
    held.end();
    return held.isPassedOn() ? Flux.empty() : evaluate(peer, held.getParts());
  }

  private List<ResponsePart> add(HeldResponse held, ResponsePart part) {
    List<ResponsePart> passedOn = held.add(part);
    if (held.isPassedOn() && !isPassedOn) {
      isPassedOn = true;
      context.crashGuard().onSuccess(fingerprints);
    }
    return passedOn;
  }

  /** Returns a complete response, or fails the attempt if it is an error that may be retried. */
  private Flux<ResponsePart> evaluate(String peer, List<ResponsePart> parts) {
    if (parts.isEmpty()) {
      return Flux.error(
          new AttemptException(STEP, peer, Outcome.UNKNOWN, "the response has no head", null));
    }
    TargetAnswer response = ((ResponsePart.Head) parts.get(0)).response();
    context.crashGuard().onSuccess(fingerprints);
    if (response.isSuccess() || !routed.route().isRetryable()) {
      return Flux.fromIterable(parts);
    }
    keepErrorResponse(parts);
    String message = "the target responded with status " + response.status();
    return Flux.error(new AttemptException(STEP, peer, Outcome.RAN, message, null));
  }

  private void recordLoad(Target target, TargetAnswer response) {
    response
        .load()
        .ifPresent(
            l ->
                context
                    .placer()
                    .onLoad(
                        target.id(),
                        l.running() + l.waiting(),
                        l.slots(),
                        context.clock().nanoTime()));
    recordRequestLimit(target, response);
  }

  /** Records the limit of a target; only a successful response without one lifts it. */
  private void recordRequestLimit(Target target, TargetAnswer response) {
    OptionalDouble limit = response.requestLimit();
    if ((limit.isPresent() || response.isSuccess())
        && context.placer().onRequestLimit(target.id(), limit)) {
      LOG.info(
          limit.isPresent() ? "target limits its requests" : "target lifted its limit",
          "target",
          target.id(),
          "limit_per_s",
          limit.orElse(-1));
    }
  }

  /** Forwards the complete events of a stream; its head is held back until the first of them. */
  private Flux<ResponsePart> streamResponse(Target target, Flux<ResponsePart> parts) {
    Object streamKey = new Object();
    StreamAttempt current = attempt;
    Flux<StreamAttempt.Delivery> events =
        ResponseUtils.limitErrorSize(target.id().value(), parts)
            .concatMapIterable(
                part -> processPart(target, streamKey, current, part), PREFETCHED_PARTS)
            .concatWith(Flux.defer(() -> endStream(current, false)));
    return context
        .stallWatch()
        .watch(
            streamKey,
            target.id(),
            events,
            routed.caller(),
            isResumableElsewhere(),
            () -> newTargetLostException(target, "the stream stalled"))
        .map(stream::deliver)
        .doOnComplete(
            () -> context.placer().onResult(target.id(), true, context.clock().nanoTime()));
  }

  /**
   * Tests whether another attempt may follow the current one. A stalled target may still go on, so
   * the last attempt is left to it until the timeout.
   */
  private boolean isResumableElsewhere() {
    return routed.route().isRetryable() && possibleRuns + 1 < maxAttempts;
  }

  private List<StreamAttempt.Delivery> processPart(
      Target target, Object streamKey, StreamAttempt current, ResponsePart part) {
    if (part instanceof ResponsePart.Head received) {
      recordLoad(target, received.response());
    }
    int eventsBefore = current.getEvents();
    int repeatedBefore = current.getRepeatedEvents();
    List<StreamAttempt.Delivery> deliveries = add(current, part);
    int repeated = current.getRepeatedEvents() - repeatedBefore;
    if (repeated > 0) {
      context.stallWatch().onRepeatedEvent(streamKey);
    }
    for (int i = eventsBefore + repeated; i < current.getEvents(); i++) {
      recordProgress(target, streamKey);
    }
    return deliveries;
  }

  private List<StreamAttempt.Delivery> add(StreamAttempt current, ResponsePart part) {
    boolean hadEvents = current.getEvents() > 0;
    List<StreamAttempt.Delivery> deliveries = current.add(part);
    if (!memory.tryHold(current.getHeldBytes())) {
      throw new AttemptException(
          STEP,
          "entry",
          current.isError() ? Outcome.RAN : Outcome.UNKNOWN,
          "no memory is left for the response",
          null);
    }
    if (!hadEvents && current.getEvents() > 0) {
      context.crashGuard().onSuccess(fingerprints);
    }
    return deliveries;
  }

  private void recordProgress(Target target, Object streamKey) {
    long gapNanos = context.stallWatch().onEvent(streamKey);
    if (gapNanos >= 0) {
      context.placer().onProgress(target.id(), Duration.ofNanos(gapNanos));
    } else {
      context.placer().onFirstEvent(target.id());
    }
  }

  private Flux<StreamAttempt.Delivery> endStream(StreamAttempt current, boolean isEndVerified) {
    try {
      return Flux.fromIterable(current.end(isEndVerified));
    } catch (AttemptException e) {
      if (e.getOutcome() == Outcome.RAN) {
        keepErrorResponse(current.getErrorResponse());
      }
      return Flux.error(e);
    }
  }

  private void keepErrorResponse(List<ResponsePart> parts) {
    errorResponse = parts;
    memory.keep();
  }

  private AttemptException newTargetLostException(Target target, String message) {
    return new TargetLostException(STEP, target.id().value(), Outcome.UNKNOWN, message, null);
  }

  private Flux<ResponsePart> handleFailure(Target target, AttemptException error) {
    if (error.getOutcome() == Outcome.NOT_RUN) {
      notRunAttempts++;
    } else {
      possibleRuns++;
    }
    recordFailure(target, error);
    // An isolated entry loses all its connections, which says nothing about its requests.
    if (error instanceof ConnectionLostException
        && attempt.getEvents() == 0
        && !context.reachability().isIsolated()) {
      context.crashGuard().onInterrupted(fingerprints, target);
    }
    return retryOrFail(target.id().value(), error, RETRY_AFTER_FAILURE);
  }

  /** Starts the next attempt if a retry is allowed, otherwise fails the request. */
  private Flux<ResponsePart> retryOrFail(String peer, AttemptException error, Duration retryAfter) {
    outcome = outcome.join(error.getOutcome());
    Optional<Placement> next =
        isRepeatable(error) && isAttemptLeft(error) ? Optional.of(placeNext()) : Optional.empty();
    RetryVerdict verdict = decideRetry(error, next);
    context.metrics().recordFailure(routed.service(), verdict);
    log.logFailure(peer, attempt.getEvents(), error, verdict);
    if (next.isPresent() && verdict != RetryVerdict.NO_BUDGET) {
      return proceed(next.orElseThrow());
    }
    if (hasErrorResponse()) {
      return Flux.fromIterable(errorResponse);
    }
    return Flux.error(
        new ForwardException(STEP, peer, error.getMessage(), outcome, retryAfter, false));
  }

  /** Has another entry forward the request. */
  private Flux<ResponsePart> relay(Placement.Refuse reason, Duration remaining) {
    int grantedAttempts = getGrantedAttempts();
    relays++;
    attempt = stream.newAttempt(RELAY_PEER);
    memory.start(RELAY_PEER);
    context
        .metrics()
        .recordRelay(
            routed.service(), context.reachability().isIsolated() ? "isolated" : "unreachable");
    log.logRelay(
        reason.reason(), remaining, stream.getLastEventId(), grantedAttempts, excludedTargets);
    RelayedRequest relayed =
        new RelayedRequest(
            routed, remaining, stream.getLastEventId(), grantedAttempts, excludedTargets);
    Flux<ResponsePart> parts =
        onceCallerIsThere(() -> context.relay().relay(relayed)).onErrorMap(RelayException::of);
    Flux<ResponsePart> response =
        isStream ? streamRelayed(parts) : collectRelayed(parts, grantedAttempts);
    return response.onErrorResume(
        AttemptException.class, e -> handleRelayFailure(e, grantedAttempts));
  }

  /** Returns the attempts for the next entry, which leave one for an entry after it. */
  private int getGrantedAttempts() {
    int left = maxAttempts - possibleRuns;
    return relays + 1 < MAX_RELAYS ? Math.max(1, left - 1) : left;
  }

  private Flux<ResponsePart> streamRelayed(Flux<ResponsePart> parts) {
    StreamAttempt current = attempt;
    return ResponseUtils.limitErrorSize(RELAY_PEER, parts)
        .concatMapIterable(part -> add(current, part), PREFETCHED_PARTS)
        .concatWith(Flux.defer(() -> endStream(current, true)))
        .map(stream::deliver);
  }

  private Flux<ResponsePart> collectRelayed(Flux<ResponsePart> parts, int grantedAttempts) {
    Duration timeout =
        routed
            .route()
            .latencyTarget()
            .multipliedBy((long) LATENCY_TARGETS_PER_ATTEMPT * grantedAttempts)
            .plus(RELAY_MARGIN);
    return hold(
        RELAY_PEER,
        parts,
        timeout,
        () ->
            new AttemptException(
                RELAY_STEP, RELAY_PEER, Outcome.UNKNOWN, "no complete response in time", null));
  }

  private Flux<ResponsePart> handleRelayFailure(AttemptException error, int grantedAttempts) {
    Duration retryAfter =
        error instanceof RelayException failure ? failure.getRetryAfter() : RETRY_AFTER_FAILURE;
    if (error.getOutcome() == Outcome.NOT_RUN) {
      return proceedWithoutRelay(
          new Placement.Refuse(
              Placement.Cause.UNREACHABLE, "no entry: " + error.getMessage(), retryAfter));
    }
    possibleRuns += grantedAttempts;
    return retryOrFail(error.getPeer(), error, retryAfter);
  }

  /**
   * Goes on after the relay found no entry, which it has asked already. An entry that isn't
   * isolated may have sound targets of its own.
   */
  private Flux<ResponsePart> proceedWithoutRelay(Placement.Refuse refusal) {
    relays = MAX_RELAYS;
    Placement own = context.reachability().isIsolated() ? refusal : placeNext();
    return proceed(own instanceof Placement.Send ? own : refusal);
  }

  private boolean isRepeatable(AttemptException error) {
    return error.getOutcome() == Outcome.NOT_RUN || routed.route().isRetryable();
  }

  private boolean isAttemptLeft(AttemptException error) {
    if (isPassedOn) {
      return false;
    }
    return error.getOutcome() == Outcome.NOT_RUN
        ? notRunAttempts <= MAX_NOT_RUN_RETRIES
        : possibleRuns < maxAttempts;
  }

  private RetryVerdict decideRetry(AttemptException error, Optional<Placement> next) {
    if (next.isEmpty()) {
      return isRepeatable(error) ? RetryVerdict.TOO_MANY_ATTEMPTS : RetryVerdict.NOT_REPEATABLE;
    }
    if (context.crashGuard().getRefusal(fingerprints).isPresent()) {
      return RetryVerdict.REFUSED;
    }
    if (next.get() instanceof Placement.Refuse && !isRelayable(next.get())) {
      return RetryVerdict.NO_TARGET;
    }
    // An attempt that reached no target put no load on one, so its retry costs no budget.
    if (error instanceof TargetUnreachableException) {
      return RetryVerdict.FREE;
    }
    return context
            .retryBudgets()
            .tryRetry(routed.service(), error.getOutcome(), context.clock().nanoTime())
        ? RetryVerdict.CHARGED
        : RetryVerdict.NO_BUDGET;
  }

  private void recordFailure(Target target, AttemptException error) {
    if (error instanceof RequestRejectedException rejection && !rejection.isMisdirected()) {
      recordRequestLimit(target, rejection.getResponse());
    }
    if (error instanceof RequestRejectedException) {
      context.reachability().onSignOfLife();
    }
    if (isContactLost(error)) {
      hasLostContact = true;
      recordLostContact(target, error);
    } else {
      excludedTargets.add(target.id());
    }
    if (error instanceof TargetUnreachableException) {
      context.placer().onUnreachable(target.id(), context.clock().nanoTime());
    } else if (error.getOutcome() != Outcome.NOT_RUN) {
      context.placer().onResult(target.id(), false, context.clock().nanoTime());
    }
  }

  private void recordLostContact(Target target, AttemptException error) {
    if (error instanceof TargetLostException) {
      context.reachability().onSilent(target.id());
    } else {
      context.reachability().onFailure(target.id());
    }
  }

  /** Tests whether an attempt failed as when the path to its target is cut. */
  private boolean isContactLost(AttemptException error) {
    return error instanceof TargetUnreachableException
        || error instanceof TargetLostException
        || error instanceof ConnectionLostException && attempt.getEvents() == 0;
  }

  private ForwardException newTimeoutException() {
    boolean isStarted = sentAttempts + relays > 0;
    Outcome combined = isStarted ? outcome.join(Outcome.UNKNOWN) : Outcome.NOT_RUN;
    log.logTimeout(triedTargets, combined);
    return new ForwardException(
        STEP, "entry", "the timeout of the request expired", combined, RETRY_AFTER_FAILURE, true);
  }
}
