package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.ConnectionLostException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetLostException;
import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.attempt.TargetUnreachableException;
import io.fireflyshed.coordination.placement.Placement;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.target.Target;
import io.fireflyshed.state.traffic.RequestKind;
import io.fireflyshed.transport.entry.AttemptEvents;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.core.publisher.Sinks;

/**
 * Makes the attempts of one request at targets and, where none can be reached, through other
 * entries.
 *
 * <p>An attempt that is only silent stays open while another one runs beside it. The first of them
 * that goes on becomes the response, and the others are cancelled; one that fails costs the others
 * nothing. Events of the attempts are handled one after the other.
 */
final class AttemptSequence {

  /** Limits the retries of attempts that did not run, which the route's limit doesn't count. */
  private static final int MAX_NOT_RUN_RETRIES = 3;

  /** The interval in which a successor of a late attempt is looked for. */
  private static final Duration REPLACEMENT_INTERVAL = Duration.ofMillis(50);

  /** The wait after a successor that failed, so that targets that reject are not asked at once. */
  private static final Duration SUCCESSOR_RETRY_DELAY = Duration.ofMillis(250);

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

  /** Limits the entries that are asked to forward a request, besides this one. */
  private static final int MAX_RELAYS = 2;

  /**
   * The time that an entry has beyond the latency limit of an attempt to return an idempotent
   * response; a multiple of the round trip between entries.
   */
  private static final Duration RELAY_MARGIN = Duration.ofMillis(200);

  private static final String STEP = "forward";
  private static final String RELAY_PEER = "entry";

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestFingerprints fingerprints;
  private final AttemptLog log;
  private final RequestPlacer placer;
  private final RetryCharger charger;
  private final ResponseReader reader;
  private final AttemptSender sender;
  private final TargetWait targetWait;
  private final TargetContact contact;
  private final boolean isStream;
  private final CallerStream stream;
  private final int maxAttempts;
  private final boolean isRelayed;
  private final ResponseMemory memory;
  private final AttemptHistory history;
  private final RequestTimeout timeout;
  private final AttemptEvents<ResponsePart> events = new AttemptEvents<>();

  /** The attempts that have not ended, the newest last. */
  private final List<OpenAttempt> openAttempts = new ArrayList<>();

  private int relays;

  private List<ResponsePart> errorResponse = List.of();

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
    history.addTried(relayed.excludedTargets());
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
    this.reader = new ResponseReader(context, routed, fingerprints, placer);
    this.sender = new AttemptSender(context, routed, log, isRelayed, relayListener);
    this.targetWait = new TargetWait(context, routed, placer, log);
    this.contact = new TargetContact(context.reachability());
    this.isStream = routed.route().kind() == RequestKind.STREAM;
    this.stream = new CallerStream(lastEventId);
    this.maxAttempts = maxAttempts;
    this.isRelayed = isRelayed;
    // The entry that relayed the request knows no target beyond those that it granted.
    boolean isLimited = isRelayed && routed.route().isRetryable();
    this.history = new AttemptHistory(maxAttempts, isLimited ? maxAttempts : Integer.MAX_VALUE);
    OptionalInt grantedAttempts = isRelayed ? OptionalInt.of(maxAttempts) : OptionalInt.empty();
    this.timeout = new RequestTimeout(context, routed, history, log, grantedAttempts);
    this.memory = new ResponseMemory(context.budget(), routed.route().name());
  }

  /**
   * Makes attempts until one succeeds, the request is refused, its timeout has passed or a shutdown
   * ends it.
   *
   * @return the head followed by the body chunks of the response; it fails with a {@link
   *     ForwardException}
   */
  Flux<ResponsePart> start() {
    Supplier<List<ResponsePart>> first = () -> proceed(placeNext(), false);
    events.add(placer.requestTrial().thenReturn(first).flux());
    if (isRelayed) {
      events.add(timeout.awaitLastMoment().map(t -> this::endBeforeTimeout));
    }
    return events.asFlux(timeout.await(), this::endAtTimeout).doFinally(signal -> memory.close());
  }

  /** Ends the request with the error response of a target, if there is one, or with an error. */
  private List<ResponsePart> endAtTimeout() {
    ForwardException error = timeout.newException(sender.stop() || relays > 0);
    if (hasErrorResponse()) {
      return endWithErrorResponse();
    }
    throw error;
  }

  /** Ends a request of another entry early enough for its error response to arrive in time. */
  private List<ResponsePart> endBeforeTimeout() {
    return hasErrorResponse() ? endWithErrorResponse() : List.of();
  }

  private Duration getRemainingTime() {
    return timeout.getRemainingTime();
  }

  private Placement placeNext() {
    return placer.place(history.getTriedTargets(), contact.isLost(), isRelayAllowed());
  }

  private boolean isRelayAllowed() {
    return !isRelayed && relays < MAX_RELAYS && context.relay().isAvailable();
  }

  private List<ResponsePart> proceed(Placement placement, boolean isCharged) {
    Duration remaining = getRemainingTime();
    if (remaining.compareTo(RequestTimeout.MIN_ATTEMPT_TIME) < 0) {
      return endAtTimeout();
    }
    if (placement instanceof Placement.Send send) {
      send(send.target(), remaining, isCharged);
      return List.of();
    }
    Placement.Refuse refusal = (Placement.Refuse) placement;
    // Other entries probably find the same targets silent, unless this one has lost contact.
    if (!context.reachability().isImpaired() && isWaitAllowed(refusal)) {
      return awaitTargets(remaining);
    }
    if (!placer.isRelayable(refusal, history.getExcludedTargets(), isRelayAllowed())) {
      return refuse(refusal);
    }
    relay(refusal, remaining, context.relay()::relay);
    return List.of();
  }

  /** Tests whether a target returned an error response that can still be sent to the caller. */
  private boolean hasErrorResponse() {
    return !errorResponse.isEmpty() && !stream.isHeadSent() && !isPassedOn;
  }

  private List<ResponsePart> endWithErrorResponse() {
    events.complete();
    return errorResponse;
  }

  private List<ResponsePart> refuse(Placement.Refuse refusal) {
    if (hasErrorResponse()) {
      return endWithErrorResponse();
    }
    if (isWaitAllowed(refusal)) {
      return awaitTargets(getRemainingTime());
    }
    log.logRefusal(
        refusal, placer.getCandidates().size(), history.getTriedTargets(), history.getOutcome());
    throw new ForwardException(
        "place", "entry", refusal.reason(), history.getOutcome(), refusal.retryAfter(), false);
  }

  /** Tests whether a request that no target got may wait for a silent target to go on. */
  private boolean isWaitAllowed(Placement.Refuse refusal) {
    return !isRelayed
        && !history.hasEndedAttempts()
        && !charger.isDeniedAfterRelay()
        && targetWait.isWorthwhile(refusal);
  }

  private List<ResponsePart> awaitTargets(Duration remaining) {
    Optional<Target> trial = context.validator().takeTrial(placer.getCandidates());
    if (trial.isPresent()) {
      send(trial.orElseThrow(), remaining, false);
      return List.of();
    }
    events.add(targetWait.awaitTargets().thenMany(Flux.just(() -> proceed(placeNext(), false))));
    return List.of();
  }

  private void send(Target target, Duration remaining, boolean isCharged) {
    InstanceId id = target.id();
    history.onStart(id);
    OpenAttempt attempt =
        OpenAttempt.ofTarget(target, stream.newAttempt(id.value()), memory.start(id.value()));
    if (isCharged) {
      attempt.setCharged();
    }
    Flux<ResponsePart> parts =
        onceCallerIsThere(() -> sender.send(target, remaining, stream.getLastEventId()));
    if (isStream) {
      openStream(attempt, target, parts);
    } else {
      openLookup(attempt, target, parts);
    }
  }

  /**
   * Starts an attempt unless the caller turns out to have left, which cancels it. An entry that is
   * behind may have read the request, and not yet that its connection was closed.
   */
  private Flux<ResponsePart> onceCallerIsThere(Supplier<Flux<ResponsePart>> start) {
    return routed.caller().awaitReads().thenMany(Flux.defer(start));
  }

  /** Adds an attempt to those that are open and subscribes to its response. */
  private <T> void open(
      OpenAttempt attempt, Flux<T> response, Function<T, List<ResponsePart>> onNext) {
    openAttempts.add(attempt);
    searchSuccessors(attempt, Duration.ZERO);
    events.add(
        attempt
            .untilClosed(response.materialize())
            .map(signal -> () -> onSignal(attempt, signal, onNext)));
  }

  /**
   * Prepares the search for what may run beside the open attempts, the newest of which is given.
   *
   * @param delay the time in which nothing is looked for
   */
  private void searchSuccessors(OpenAttempt attempt, Duration delay) {
    Set<InstanceId> used = new HashSet<>(history.getTriedTargets());
    boolean isLeft =
        routed.route().isRetryable()
            && history.isRunLeft()
            && history.getNotRunAttempts() <= MAX_NOT_RUN_RETRIES
            && history.getPossibleRuns() + countOpenRuns() < maxAttempts;
    AttemptOptions options =
        new AttemptOptions(
            context,
            routed,
            placer,
            charger,
            log,
            attempt.getPeer(),
            used,
            List.copyOf(openAttempts),
            stream.getLastEventId(),
            () -> isLeft && timeout.isInTime(),
            this::isRelayAllowed);
    attempt.setSuccessors(new SuccessorSearch(context.clock(), options, delay));
  }

  private int countOpenRuns() {
    return openAttempts.stream().mapToInt(OpenAttempt::countPossibleRuns).sum();
  }

  private <T> List<ResponsePart> onSignal(
      OpenAttempt attempt, Signal<T> signal, Function<T, List<ResponsePart>> onNext) {
    if (!openAttempts.contains(attempt)) {
      return List.of();
    }
    if (signal.isOnNext()) {
      return onNext.apply(signal.get());
    }
    if (signal.isOnComplete()) {
      return complete(attempt);
    }
    if (signal.getThrowable() instanceof AttemptException error) {
      return attempt
          .getTarget()
          .map(target -> handleFailure(attempt, target, error))
          .orElseGet(() -> handleRelayFailure(attempt, error));
    }
    throw Exceptions.propagate(signal.getThrowable());
  }

  private List<ResponsePart> complete(OpenAttempt attempt) {
    select(attempt);
    events.complete();
    return takeHead(attempt);
  }

  /** Makes an attempt that goes on the only one. */
  private void select(OpenAttempt attempt) {
    if (openAttempts.size() == 1) {
      return;
    }
    boolean isNewest = openAttempts.indexOf(attempt) == openAttempts.size() - 1;
    for (OpenAttempt other : List.copyOf(openAttempts)) {
      if (other != attempt) {
        supersede(other, attempt, isNewest);
      }
    }
    if (!isNewest) {
      searchSuccessors(attempt, Duration.ZERO);
    }
  }

  private void supersede(OpenAttempt attempt, OpenAttempt winner, boolean isSilent) {
    int received = attempt.getStream().getEvents();
    context.metrics().recordSuperseded(routed.service(), isSilent);
    log.logSuperseded(attempt.getPeer(), received, winner.getPeer());
    close(attempt);
    if (attempt.getTarget().isEmpty()) {
      history.onRelayEnd(attempt, Outcome.UNKNOWN);
      return;
    }
    InstanceId target = attempt.getTarget().orElseThrow().id();
    history.onEnd(target, Outcome.UNKNOWN, isStream && received > 0);
    if (isSilent) {
      context.placer().onResult(target, false, context.clock().nanoTime());
    }
  }

  private void close(OpenAttempt attempt) {
    openAttempts.remove(attempt);
    attempt.close();
  }

  /**
   * Looks for a successor each time an attempt is found to be late, and starts it. An attempt whose
   * events wait for the caller is not late.
   */
  private void startSuccessors(OpenAttempt attempt, Flux<Duration> late) {
    events.add(
        attempt
            .untilClosed(
                late.filter(s -> !attempt.isWaiting() && attempt.getSuccessors().isSecured()))
            .map(silence -> () -> startSuccessor(attempt, silence)));
  }

  private List<ResponsePart> startSuccessor(OpenAttempt attempt, Duration silence) {
    attempt
        .getSuccessors()
        .takeSecured()
        .ifPresent(successor -> startSuccessor(attempt, silence, successor));
    return List.of();
  }

  private void startSuccessor(
      OpenAttempt attempt, Duration silence, SuccessorSearch.Successor successor) {
    Duration remaining = getRemainingTime();
    if (attempt.isWaiting()
        || isPassedOn
        || remaining.compareTo(RequestTimeout.MIN_ATTEMPT_TIME) < 0
        || !openAttempts.stream().allMatch(OpenAttempt::tryAddSuccessor)) {
      // The attempt went on, or its entry failed, before its successor could start.
      successor.cancel();
      searchSuccessors(attempt, SUCCESSOR_RETRY_DELAY);
      return;
    }
    context.metrics().recordFailure(routed.service(), RetryVerdict.CHARGED);
    log.logSuccessor(attempt.getPeer(), attempt.getStream().getEvents(), silence);
    attempt.getTarget().ifPresent(target -> contact.onSilent(target.id()));
    if (successor instanceof SuccessorSearch.ToEntry entry) {
      relay(entry.reason(), remaining, entry.relay()::send);
    } else {
      send(((SuccessorSearch.ToTarget) successor).placement().target(), remaining, true);
    }
  }

  /** Opens an attempt whose response is not a stream. */
  private void openLookup(OpenAttempt attempt, Target target, Flux<ResponsePart> parts) {
    open(attempt, reader.readWhole(attempt, target, parts), received -> passOn(attempt, received));
    Duration lookupTimeout = timeout.getLookupTimeout(1);
    Mono<Void> onLate = Mono.fromRunnable(() -> context.reachability().onSilent(target.id()));
    Flux<Long> ticks = Flux.interval(Duration.ZERO, REPLACEMENT_INTERVAL).onBackpressureDrop();
    startLookupSuccessors(
        attempt, Mono.delay(lookupTimeout).then(onLate).thenMany(ticks).map(t -> lookupTimeout));
  }

  private void startLookupSuccessors(OpenAttempt attempt, Flux<Duration> late) {
    if (routed.route().kind() == RequestKind.IDEMPOTENT) {
      startSuccessors(attempt, late.filter(silence -> !attempt.isPassedOn()));
    }
  }

  /** Passes on a whole response, which nothing ends any more, or parts of one that is too long. */
  private List<ResponsePart> passOn(OpenAttempt attempt, List<ResponsePart> parts) {
    select(attempt);
    if (attempt.isPassedOn()) {
      isPassedOn = true;
    } else {
      events.complete();
    }
    return parts;
  }

  /** Opens an attempt that forwards the complete events of a stream. */
  private void openStream(OpenAttempt attempt, Target target, Flux<ResponsePart> parts) {
    Sinks.Many<Duration> late = Sinks.many().multicast().directBestEffort();
    open(
        attempt,
        reader.readStream(attempt, target, parts, late::tryEmitNext),
        delivery -> deliver(attempt, delivery));
    startSuccessors(attempt, late.asFlux());
  }

  private List<ResponsePart> deliver(OpenAttempt attempt, StreamAttempt.Delivery delivery) {
    attempt.onTaken();
    if (delivery.part() instanceof ResponsePart.Head) {
      attempt.setHead(delivery);
      return List.of();
    }
    if (delivery.isProgress()) {
      select(attempt);
    } else if (openAttempts.size() > 1) {
      // A comment doesn't tell which of the attempts goes on.
      return List.of();
    }
    List<ResponsePart> parts = takeHead(attempt);
    parts.add(stream.deliver(delivery));
    return parts;
  }

  private List<ResponsePart> takeHead(OpenAttempt attempt) {
    List<ResponsePart> parts = new ArrayList<>();
    attempt.takeHead().ifPresent(head -> parts.add(stream.deliver(head)));
    return parts;
  }

  private List<ResponsePart> handleFailure(
      OpenAttempt attempt, Target target, AttemptException error) {
    sender.onFailure(target.id(), error);
    recordFailure(attempt, target, error);
    // An isolated entry loses all its connections, which says nothing about its requests.
    if (error instanceof ConnectionLostException
        && attempt.getStream().getEvents() == 0
        && !context.reachability().isIsolated()) {
      context.crashGuard().onInterrupted(fingerprints, target);
    }
    return replaceOrRetry(attempt, error, RETRY_AFTER_FAILURE);
  }

  private List<ResponsePart> replaceOrRetry(
      OpenAttempt attempt, AttemptException error, Duration retryAfter) {
    if (!attempt.getErrorResponse().isEmpty()) {
      errorResponse = attempt.getErrorResponse();
      attempt.getMemory().keep();
    }
    Optional<SuccessorSearch.Successor> successor =
        isPassedOn ? Optional.empty() : attempt.getSuccessors().take();
    boolean isNewest = openAttempts.indexOf(attempt) == openAttempts.size() - 1;
    close(attempt);
    if (successor.isPresent() && openAttempts.stream().allMatch(OpenAttempt::tryAddSuccessor)) {
      return replace(attempt, error, successor.get());
    }
    successor.ifPresent(SuccessorSearch.Successor::cancel);
    return openAttempts.isEmpty()
        ? retryOrFail(attempt, error, retryAfter)
        : leaveToOthers(attempt, error, isNewest);
  }

  /** Leaves the request to the attempts that are open beside one that failed. */
  private List<ResponsePart> leaveToOthers(
      OpenAttempt attempt, AttemptException error, boolean isNewest) {
    recordVerdict(attempt, error, RetryVerdict.OTHER_ATTEMPT);
    if (isNewest) {
      searchSuccessors(openAttempts.get(openAttempts.size() - 1), SUCCESSOR_RETRY_DELAY);
    }
    return List.of();
  }

  private void recordVerdict(OpenAttempt attempt, AttemptException error, RetryVerdict verdict) {
    context.metrics().recordFailure(routed.service(), verdict);
    if (verdict != RetryVerdict.FREE) {
      charger.refund(attempt, error);
    }
    log.logFailure(attempt.getPeer(), attempt.getStream().getEvents(), error, verdict);
  }

  /** Starts the successor of an attempt, for which the retry budget was charged. */
  private List<ResponsePart> replace(
      OpenAttempt attempt, AttemptException error, SuccessorSearch.Successor successor) {
    recordVerdict(attempt, error, RetryVerdict.CHARGED);
    if (successor instanceof SuccessorSearch.ToEntry entry) {
      relay(entry.reason(), getRemainingTime(), entry.relay()::send);
      return List.of();
    }
    return proceed(((SuccessorSearch.ToTarget) successor).placement(), true);
  }

  /** Starts the next attempt if a retry is allowed, otherwise fails the request. */
  private List<ResponsePart> retryOrFail(
      OpenAttempt attempt, AttemptException error, Duration retryAfter) {
    Optional<Placement> next =
        isRepeatable(error) && isAttemptLeft(error) ? Optional.of(placeNext()) : Optional.empty();
    RetryVerdict verdict =
        next.map(n -> charger.charge(error, n, history.getExcludedTargets(), isRelayAllowed()))
            .orElse(
                isRepeatable(error) ? RetryVerdict.TOO_MANY_ATTEMPTS : RetryVerdict.NOT_REPEATABLE);
    recordVerdict(attempt, error, verdict);
    if (next.isPresent() && verdict != RetryVerdict.NO_BUDGET) {
      // An attempt that follows one that wasn't sent takes over its charge.
      boolean isCharged =
          verdict == RetryVerdict.FREE ? attempt.isCharged() : verdict == RetryVerdict.CHARGED;
      return proceed(next.orElseThrow(), isCharged);
    }
    if (hasErrorResponse()) {
      return endWithErrorResponse();
    }
    throw new ForwardException(
        STEP, attempt.getPeer(), error.getMessage(), history.getOutcome(), retryAfter, false);
  }

  /** Has another entry forward the request. */
  private void relay(
      Placement.Refuse reason,
      Duration remaining,
      Function<RelayedRequest, Flux<ResponsePart>> relay) {
    int grantedAttempts = countGrantedAttempts();
    relays++;
    OpenAttempt attempt =
        OpenAttempt.ofRelay(
            RELAY_PEER, stream.newAttempt(RELAY_PEER), memory.start(RELAY_PEER), grantedAttempts);
    Set<InstanceId> excluded = history.getExcludedTargets(openAttempts);
    context
        .metrics()
        .recordRelay(
            routed.service(), context.reachability().isIsolated() ? "isolated" : "unreachable");
    log.logRelay(reason.reason(), remaining, stream.getLastEventId(), grantedAttempts, excluded);
    RelayedRequest relayed =
        new RelayedRequest(
            routed,
            remaining,
            stream.getLastEventId(),
            grantedAttempts,
            excluded,
            attempt.getRelayed(),
            () -> charger.tryChargeAfterRelay() && attempt.getRelayed().isOfferable());
    Flux<ResponsePart> parts =
        onceCallerIsThere(() -> relay.apply(relayed.withRemaining(getRemainingTime())))
            .onErrorMap(RelayException::of);
    if (isStream) {
      open(
          attempt,
          reader.readRelayedStream(attempt, parts),
          delivery -> deliver(attempt, delivery));
      startSuccessors(attempt, attempt.getRelayed().findSilence(REPLACEMENT_INTERVAL));
    } else {
      openRelayedLookup(attempt, parts);
    }
  }

  /** Returns the attempts for the next entry, which leave one for an entry after it. */
  private int countGrantedAttempts() {
    int left = maxAttempts - history.getPossibleRuns() - countOpenRuns();
    return relays + 1 < MAX_RELAYS ? Math.max(1, left - 1) : left;
  }

  /**
   * Opens an attempt of another entry whose response is not a stream. Its time is counted from the
   * first attempt of that entry, which makes none after that time, even if it is silent.
   */
  private void openRelayedLookup(OpenAttempt attempt, Flux<ResponsePart> parts) {
    Duration lookupTimeout =
        timeout.getLookupTimeout(attempt.getGrantedAttempts()).plus(RELAY_MARGIN);
    open(attempt, reader.readRelayed(attempt, parts), received -> passOn(attempt, received));
    startLookupSuccessors(
        attempt, attempt.getRelayed().findLateness(lookupTimeout, REPLACEMENT_INTERVAL));
  }

  private List<ResponsePart> handleRelayFailure(OpenAttempt attempt, AttemptException error) {
    Duration retryAfter =
        error instanceof RelayException failure ? failure.getRetryAfter() : RETRY_AFTER_FAILURE;
    if (error.getOutcome() != Outcome.NOT_RUN) {
      log.logRelayFailure(
          attempt.getRelayed().getTargets(),
          attempt.getRelayed().areKnown(attempt.getGrantedAttempts()));
      history.onRelayEnd(attempt, error.getOutcome());
      return replaceOrRetry(attempt, error, retryAfter);
    }
    history.addRejecting(attempt.getRelayed());
    boolean isNewest = openAttempts.indexOf(attempt) == openAttempts.size() - 1;
    close(attempt);
    return openAttempts.isEmpty()
        ? proceedWithoutRelay(
            new Placement.Refuse(
                Placement.Cause.UNREACHABLE, "no entry: " + error.getMessage(), retryAfter))
        : leaveToOthers(attempt, error, isNewest);
  }

  /**
   * Goes on after the relay found no entry, which it has asked already. An entry that isn't
   * isolated may have sound targets of its own.
   */
  private List<ResponsePart> proceedWithoutRelay(Placement.Refuse refusal) {
    relays = MAX_RELAYS;
    boolean isOwnAllowed =
        history.isRunLeft()
            && !charger.isDeniedAfterRelay()
            && !context.reachability().isIsolated();
    Placement own = isOwnAllowed ? placeNext() : refusal;
    return proceed(own instanceof Placement.Send ? own : refusal, false);
  }

  private boolean isRepeatable(AttemptException error) {
    return error.getOutcome() == Outcome.NOT_RUN || routed.route().isRetryable();
  }

  private boolean isAttemptLeft(AttemptException error) {
    boolean isLeft =
        error.getOutcome() != Outcome.NOT_RUN || history.getNotRunAttempts() <= MAX_NOT_RUN_RETRIES;
    return isLeft && history.isRunLeft() && !isPassedOn && timeout.isInTime();
  }

  private void recordFailure(OpenAttempt attempt, Target target, AttemptException error) {
    if (error instanceof RequestRejectedException rejection && !rejection.isMisdirected()) {
      placer.onRequestLimit(target, rejection.getResponse());
    }
    if (error instanceof RequestRejectedException) {
      context.reachability().onSignOfLife();
      context.validator().onSignOfLife(target.id(), LifeSign.REJECTION);
    }
    contact.onFailure(target.id(), attempt.getStream().getEvents() > 0, error);
    if (error instanceof TargetSilentException silence) {
      history.onUnsent(target.id());
      placer.onSilent(silence);
      return;
    }
    boolean isUnreachable = error instanceof TargetUnreachableException;
    history.onEnd(target.id(), error.getOutcome(), isUnreachable || isContinuable(attempt, error));
    if (isUnreachable) {
      context.placer().onUnreachable(target.id(), context.clock().nanoTime());
    } else if (error.getOutcome() != Outcome.NOT_RUN) {
      context.placer().onResult(target.id(), false, context.clock().nanoTime());
    }
  }

  /** Tests whether an attempt was a stream that its target may continue for others. */
  private boolean isContinuable(OpenAttempt attempt, AttemptException error) {
    return isStream && error instanceof TargetLostException && attempt.getStream().getEvents() > 0;
  }
}
