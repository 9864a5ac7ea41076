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
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
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
  static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

  /**
   * The multiple of the route's latency target after which an idempotent request without a complete
   * response is sent to another target.
   */
  private static final int LATENCY_TARGETS_PER_ATTEMPT = 3;

  /** The interval in which a late attempt is replaced if it can be. */
  private static final Duration REPLACEMENT_INTERVAL = Duration.ofMillis(50);

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

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

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestFingerprints fingerprints;
  private final AttemptLog log;
  private final RequestPlacer placer;
  private final RetryCharger charger;
  private final boolean isStream;
  private final Set<InstanceId> triedTargets = new HashSet<>();

  /**
   * The targets that another entry must not try: those that may have run the request, since a
   * second run may end differently, and those that rejected it. Targets that could not be connected
   * are not among them, as the other entry may reach them, nor are those at which a stream may go
   * on.
   */
  private final Set<InstanceId> excludedTargets = new HashSet<>();

  private final CallerStream stream;
  private final int maxAttempts;
  private final boolean isRelayed;
  private final RelayListener relayListener;
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
    this(
        context,
        routed,
        routed.request().lastEventId(),
        routed.route().maxAttempts(),
        false,
        RelayListener.none());
  }

  /** Creates the attempts for another entry. */
  AttemptSequence(ForwardContext context, RelayedRequest relayed) {
    this(
        context,
        relayed.routed().withTimeout(context.clock().nanoTime(), relayed.remaining()),
        relayed.lastEventId(),
        relayed.maxAttempts(),
        true,
        relayed.listener());
    triedTargets.addAll(relayed.excludedTargets());
  }

  private AttemptSequence(
      ForwardContext context,
      RoutedRequest routed,
      OptionalLong lastEventId,
      int maxAttempts,
      boolean isRelayed,
      RelayListener relayListener) {
    this.context = context;
    this.routed = routed;
    this.fingerprints = routed.getFingerprints();
    this.log = new AttemptLog(routed, fingerprints);
    this.placer = new RequestPlacer(context, routed, isRelayed);
    this.charger = new RetryCharger(context, routed, placer);
    this.isStream = routed.route().kind() == RequestKind.STREAM;
    this.stream = new CallerStream(lastEventId);
    this.attempt = stream.newAttempt(RELAY_PEER);
    this.maxAttempts = maxAttempts;
    this.isRelayed = isRelayed;
    this.relayListener = relayListener;
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
    return placer.place(triedTargets, hasLostContact, isRelayAllowed());
  }

  private boolean isRelayAllowed() {
    return !isRelayed && relays < MAX_RELAYS && context.relay().isAvailable();
  }

  private Flux<ResponsePart> proceed(Placement placement) {
    Duration remaining = routed.getRemainingTime(context.clock().nanoTime());
    if (remaining.compareTo(MIN_ATTEMPT_TIME) < 0) {
      return Flux.error(newTimeoutException());
    }
    if (placement instanceof Placement.Refuse refusal) {
      return placer.isRelayable(refusal, excludedTargets, isRelayAllowed())
          ? relay(refusal, remaining, context.relay()::relay)
          : refuse(refusal);
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
    log.logRefusal(refusal, placer.getCandidates().size(), triedTargets, outcome);
    return Flux.error(
        new ForwardException(
            "place", "entry", refusal.reason(), outcome, refusal.retryAfter(), false));
  }

  private Flux<ResponsePart> send(Target target, Duration remaining) {
    triedTargets.add(target.id());
    relayListener.onAttempt(target.id());
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
    SuccessorSearch successors = newSuccessorSearch(target.id().value(), new RelayedAttempts(), 0);
    Flux<ResponsePart> response =
        isStream
            ? streamResponse(target, parts, successors)
            : collectResponse(target, parts, successors);
    return response
        .doFinally(
            signal ->
                context.placer().onEnd(routed.getPool(), target.id(), context.clock().nanoTime()))
        .doFinally(signal -> successors.close())
        .onErrorResume(AttemptException.class, e -> handleFailure(target, e, successors));
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
  private Flux<ResponsePart> collectResponse(
      Target target, Flux<ResponsePart> parts, SuccessorSearch successors) {
    Duration timeout = routed.route().latencyTarget().multipliedBy(LATENCY_TARGETS_PER_ATTEMPT);
    boolean[] isSuccess = new boolean[1];
    boolean[] isLate = new boolean[1];
    Flux<ResponsePart> recorded =
        parts.doOnNext(
            part -> {
              if (part instanceof ResponsePart.Head head) {
                placer.onResponse(target, head.response());
                isSuccess[0] = head.response().isSuccess();
              }
            });
    return hold(
            target.id().value(),
            recorded,
            timeout,
            () -> {
              if (!isLate[0]) {
                isLate[0] = true;
                context.reachability().onSilent(target.id());
              }
              return successors.isSecured();
            },
            () ->
                newTargetLostException(
                    target,
                    "given up by this entry after "
                        + timeout.toMillis()
                        + " ms without a complete response of a connected target"))
        .doOnComplete(
            () -> context.placer().onResult(target.id(), isSuccess[0], context.clock().nanoTime()));
  }

  /**
   * Holds a response until it is complete or too long.
   *
   * @param peer the target or entry that responds
   * @param parts the parts of the response
   * @param timeout the time for which an idempotent request waits for it, unless it is passed on
   * @param isReplaceable tells whether another attempt is ready to take over after that time
   * @param newLateException supplies the error with which the attempt fails then
   */
  private Flux<ResponsePart> hold(
      String peer,
      Flux<ResponsePart> parts,
      Duration timeout,
      BooleanSupplier isReplaceable,
      Supplier<Throwable> newLateException) {
    boolean hasBody = !routed.request().method().equals(HttpMethod.HEAD);
    HeldResponse held = new HeldResponse(peer, memory, routed.route().isRetryable(), hasBody);
    Flux<ResponsePart> limitedParts =
        routed.route().kind() == RequestKind.IDEMPOTENT
            ? StreamUtils.failOn(
                parts,
                Flux.interval(timeout, REPLACEMENT_INTERVAL)
                    .filter(t -> !held.isPassedOn() && isReplaceable.getAsBoolean())
                    .next(),
                newLateException)
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

  /** Forwards the complete events of a stream; its head is held back until the first of them. */
  private Flux<ResponsePart> streamResponse(
      Target target, Flux<ResponsePart> parts, SuccessorSearch successors) {
    Object streamKey = new Object();
    StreamAttempt current = attempt;
    Flux<StreamAttempt.Delivery> events =
        ResponseUtils.limitErrorSize(target.id().value(), parts)
            .concatMapIterable(
                part -> processPart(target, streamKey, current, part, successors), PREFETCHED_PARTS)
            .concatWith(Flux.defer(() -> endStream(current, false)));
    return context
        .stallWatch()
        .watch(
            streamKey,
            target.id(),
            events,
            routed.caller(),
            successors::isSecured,
            silence ->
                newTargetLostException(
                    target,
                    "given up by this entry after "
                        + silence.toMillis()
                        + " ms without an event of a connected target"))
        .map(stream::deliver)
        .doOnComplete(
            () -> context.placer().onResult(target.id(), true, context.clock().nanoTime()));
  }

  /**
   * Creates the search for what may follow the attempt that starts now.
   *
   * @param peer the target or entry of the attempt
   * @param relayed collects the targets at which another entry tries the request
   * @param grantedAttempts the number of these targets, 0 for an attempt of this entry
   */
  private SuccessorSearch newSuccessorSearch(
      String peer, RelayedAttempts relayed, int grantedAttempts) {
    int runs = Math.max(1, grantedAttempts);
    AttemptOptions options =
        new AttemptOptions(
            context,
            routed,
            placer,
            charger,
            log,
            peer,
            Set.copyOf(triedTargets),
            relayed,
            grantedAttempts,
            stream.getLastEventId(),
            routed.route().isRetryable() && possibleRuns + runs < maxAttempts,
            this::isRelayAllowed);
    return new SuccessorSearch(context.clock(), options);
  }

  private List<StreamAttempt.Delivery> processPart(
      Target target,
      Object streamKey,
      StreamAttempt current,
      ResponsePart part,
      SuccessorSearch successors) {
    if (part instanceof ResponsePart.Head received) {
      placer.onResponse(target, received.response());
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
      successors.onProgress();
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

  private Flux<ResponsePart> handleFailure(
      Target target, AttemptException error, SuccessorSearch successors) {
    if (error.getOutcome() == Outcome.NOT_RUN) {
      notRunAttempts++;
      relayListener.onAttempt(target.id());
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
    return replaceOrRetry(target.id().value(), error, successors, RETRY_AFTER_FAILURE);
  }

  private Flux<ResponsePart> replaceOrRetry(
      String peer, AttemptException error, SuccessorSearch successors, Duration retryAfter) {
    return (isPassedOn ? Optional.<SuccessorSearch.Successor>empty() : successors.take())
        .map(s -> replace(peer, error, s))
        .orElseGet(() -> retryOrFail(peer, error, retryAfter));
  }

  /** Starts the successor of an attempt, for which the retry budget was charged. */
  private Flux<ResponsePart> replace(
      String peer, AttemptException error, SuccessorSearch.Successor successor) {
    outcome = outcome.join(error.getOutcome());
    context.metrics().recordFailure(routed.service(), RetryVerdict.CHARGED);
    log.logFailure(peer, attempt.getEvents(), error, RetryVerdict.CHARGED);
    if (successor instanceof SuccessorSearch.ToEntry entry) {
      Duration remaining = routed.getRemainingTime(context.clock().nanoTime());
      return relay(entry.reason(), remaining, entry.relay()::send);
    }
    return proceed(((SuccessorSearch.ToTarget) successor).placement());
  }

  /** Starts the next attempt if a retry is allowed, otherwise fails the request. */
  private Flux<ResponsePart> retryOrFail(String peer, AttemptException error, Duration retryAfter) {
    outcome = outcome.join(error.getOutcome());
    Optional<Placement> next =
        isRepeatable(error) && isAttemptLeft(error) ? Optional.of(placeNext()) : Optional.empty();
    RetryVerdict verdict =
        next.map(n -> charger.charge(error, n, excludedTargets, isRelayAllowed()))
            .orElse(
                isRepeatable(error) ? RetryVerdict.TOO_MANY_ATTEMPTS : RetryVerdict.NOT_REPEATABLE);
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
  private Flux<ResponsePart> relay(
      Placement.Refuse reason,
      Duration remaining,
      Function<RelayedRequest, Flux<ResponsePart>> relay) {
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
    RelayedAttempts attempts = new RelayedAttempts();
    RelayedRequest relayed =
        new RelayedRequest(
            routed,
            remaining,
            stream.getLastEventId(),
            grantedAttempts,
            excludedTargets,
            attempts,
            charger::tryChargeAfterRelay);
    Flux<ResponsePart> parts =
        onceCallerIsThere(() -> relay.apply(relayed)).onErrorMap(RelayException::of);
    SuccessorSearch successors = newSuccessorSearch(RELAY_PEER, attempts, grantedAttempts);
    Flux<ResponsePart> response =
        isStream ? streamRelayed(parts) : collectRelayed(parts, grantedAttempts, successors);
    return response
        .doFinally(signal -> successors.close())
        .onErrorResume(
            AttemptException.class,
            e -> handleRelayFailure(e, grantedAttempts, attempts, successors));
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

  private Flux<ResponsePart> collectRelayed(
      Flux<ResponsePart> parts, int grantedAttempts, SuccessorSearch successors) {
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
        successors::isSecured,
        () ->
            new AttemptException(
                RELAY_STEP, RELAY_PEER, Outcome.UNKNOWN, "no complete response in time", null));
  }

  private Flux<ResponsePart> handleRelayFailure(
      AttemptException error,
      int grantedAttempts,
      RelayedAttempts attempts,
      SuccessorSearch successors) {
    Duration retryAfter =
        error instanceof RelayException failure ? failure.getRetryAfter() : RETRY_AFTER_FAILURE;
    if (error.getOutcome() == Outcome.NOT_RUN) {
      return proceedWithoutRelay(
          new Placement.Refuse(
              Placement.Cause.UNREACHABLE, "no entry: " + error.getMessage(), retryAfter));
    }
    possibleRuns += grantedAttempts;
    recordRelayedAttempts(attempts, grantedAttempts);
    return replaceOrRetry(error.getPeer(), error, successors, retryAfter);
  }

  /** Records at which targets another entry may have had the request run. */
  private void recordRelayedAttempts(RelayedAttempts attempts, int grantedAttempts) {
    List<InstanceId> targets = attempts.getTargets();
    boolean isContinuable = attempt.getEvents() > 0;
    boolean areKnown = attempts.areKnown(grantedAttempts);
    log.logRelayFailure(targets, areKnown);
    triedTargets.addAll(targets);
    // The target of a stream whose entry was lost may go on for another entry.
    int kept = isContinuable && !attempts.isEnded() ? 1 : 0;
    excludedTargets.addAll(targets.subList(0, Math.max(0, targets.size() - kept)));
    if (!areKnown && !isContinuable) {
      possibleRuns = Math.max(possibleRuns, maxAttempts);
    }
  }

  /**
   * Goes on after the relay found no entry, which it has asked already. An entry that isn't
   * isolated may have sound targets of its own.
   */
  private Flux<ResponsePart> proceedWithoutRelay(Placement.Refuse refusal) {
    relays = MAX_RELAYS;
    boolean isOwnAllowed = !charger.isDeniedAfterRelay() && !context.reachability().isIsolated();
    Placement own = isOwnAllowed ? placeNext() : refusal;
    return proceed(own instanceof Placement.Send ? own : refusal);
  }

  private boolean isRepeatable(AttemptException error) {
    return error.getOutcome() == Outcome.NOT_RUN || routed.route().isRetryable();
  }

  private boolean isAttemptLeft(AttemptException error) {
    boolean isLeft =
        error.getOutcome() == Outcome.NOT_RUN
            ? notRunAttempts <= MAX_NOT_RUN_RETRIES
            : possibleRuns < maxAttempts;
    return isLeft && !isPassedOn;
  }

  private void recordFailure(Target target, AttemptException error) {
    if (error instanceof RequestRejectedException rejection && !rejection.isMisdirected()) {
      placer.onRequestLimit(target, rejection.getResponse());
    }
    if (error instanceof RequestRejectedException) {
      context.reachability().onSignOfLife();
    }
    if (isContactLost(error)) {
      hasLostContact = true;
      recordLostContact(target, error);
    }
    if (!(error instanceof TargetUnreachableException) && !isContinuable(error)) {
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

  /** Tests whether the current attempt was a stream that its target may continue for others. */
  private boolean isContinuable(AttemptException error) {
    return isStream && error instanceof TargetLostException && attempt.getEvents() > 0;
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
