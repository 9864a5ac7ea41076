package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.attempt.AttemptException;
import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.attempt.TargetSilentException;
import io.fireflyshed.coordination.placement.RequestRun;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.target.Target;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the responses to the attempts of one request and learns from them. Thread safe, as long as
 * each attempt is read once.
 */
final class ResponseReader {

  /** Leaves parts that the caller doesn't take yet in the connection. */
  private static final int PREFETCHED_PARTS = 4;

  private static final String STEP = "forward";

  private final ForwardContext context;
  private final RoutedRequest routed;
  private final RequestFingerprints fingerprints;
  private final RequestPlacer placer;

  ResponseReader(
      ForwardContext context,
      RoutedRequest routed,
      RequestFingerprints fingerprints,
      RequestPlacer placer) {
    this.context = context;
    this.routed = routed;
    this.fingerprints = fingerprints;
    this.placer = placer;
  }

  /**
   * Reads the response of a target that is not a stream.
   *
   * @param parts the response as it was received, not null
   * @return a whole response as a single element, or the parts of one that is too long to be held
   *     as they come; it fails with an {@link AttemptException} if the response may be replaced or
   *     breaks off
   */
  Flux<List<ResponsePart>> readWhole(OpenAttempt attempt, Target target, Flux<ResponsePart> parts) {
    boolean[] isSuccess = new boolean[1];
    RequestRun run = placer.newRun(target, 0);
    Flux<ResponsePart> recorded =
        parts
            .doOnNext(this::onPart)
            .doOnNext(part -> recordPart(attempt, target))
            .doOnComplete(() -> recordEnd(attempt, target))
            .doOnError(e -> recordBreak(target, e))
            .doOnCancel(() -> context.validator().onBroken(target.id()))
            .doOnNext(
                part -> {
                  if (part instanceof ResponsePart.Head head) {
                    placer.onResponse(target, head.response());
                    isSuccess[0] = head.response().isSuccess();
                  }
                });
    return countLoad(
        target,
        run,
        hold(
            attempt,
            recorded,
            () -> {
              long now = context.clock().nanoTime();
              context.placer().onResult(target.id(), isSuccess[0], now);
              run.onEnd(isSuccess[0], now);
            }));
  }

  private void recordPart(OpenAttempt attempt, Target target) {
    // What is passed on is read when the caller takes it, however long ago it was sent.
    if (!attempt.isPassedOn()) {
      context.validator().onSignOfLife(target.id(), LifeSign.PART);
    }
  }

  private void recordEnd(OpenAttempt attempt, Target target) {
    LifeSign sign = attempt.isPassedOn() ? LifeSign.LONG_RESPONSE : LifeSign.RESPONSE;
    context.validator().onSignOfLife(target.id(), sign);
  }

  private void recordBreak(Target target, Throwable error) {
    // A rejection is told as a sign of life, and a silent target was sent nothing.
    if (!(error instanceof RequestRejectedException || error instanceof TargetSilentException)) {
      context.validator().onBroken(target.id());
    }
  }

  /** Does the same with a response that another entry passes on. */
  Flux<List<ResponsePart>> readRelayed(OpenAttempt attempt, Flux<ResponsePart> parts) {
    return hold(attempt, parts, () -> {});
  }

  /**
   * Reads a stream of a target.
   *
   * @param parts the response as it was received, not null
   * @param stallListener is told the time since the last event again and again while the stream
   *     stalls, not null
   * @return the head and the complete events that the caller should get; it fails with an {@link
   *     AttemptException} if the stream is not complete
   */
  Flux<StreamAttempt.Delivery> readStream(
      OpenAttempt attempt,
      Target target,
      Flux<ResponsePart> parts,
      Consumer<Duration> stallListener) {
    Object streamKey = new Object();
    // Events are numbered from 1; other ids only make the estimate worse.
    RequestRun run = placer.newRun(target, attempt.getStream().getLastEventId().orElse(0));
    Flux<StreamAttempt.Delivery> deliveries =
        ResponseUtils.limitErrorSize(target.id().value(), parts.doOnNext(this::onPart))
            .concatMapIterable(
                part -> processPart(attempt, target, run, streamKey, part), PREFETCHED_PARTS)
            .concatWith(Flux.defer(() -> endStream(attempt, false)));
    return countLoad(
        target,
        run,
        context
            .stallWatch()
            .watch(streamKey, target.id(), deliveries, routed.caller(), stallListener)
            .doOnComplete(
                () -> {
                  long now = context.clock().nanoTime();
                  context.placer().onResult(target.id(), true, now);
                  run.onEnd(true, now);
                }));
  }

  /** Does the same with a stream that another entry passes on, which watches it. */
  Flux<StreamAttempt.Delivery> readRelayedStream(OpenAttempt attempt, Flux<ResponsePart> parts) {
    return ResponseUtils.limitErrorSize(attempt.getPeer(), parts)
        .concatMapIterable(part -> add(attempt, part), PREFETCHED_PARTS)
        .concatWith(Flux.defer(() -> endStream(attempt, true)));
  }

  /** Counts an attempt as load of its target while it is subscribed to. */
  private <T> Flux<T> countLoad(Target target, RequestRun run, Flux<T> response) {
    return Flux.defer(
        () -> {
          context.placer().onStart(target.id());
          run.onStart(context.clock().nanoTime());
          return response.doFinally(
              signal -> {
                long now = context.clock().nanoTime();
                run.onEnd(false, now);
                context.placer().onEnd(routed.getPool(), target.id(), now);
              });
        });
  }

  private void onPart(ResponsePart part) {
    context.reachability().onSignOfLife();
    if (part instanceof ResponsePart.Head && !routed.route().isRetryable()) {
      // The target ran the request, which can't be sent again.
      routed.body().close();
    }
  }

  /**
   * Holds a response until it is complete or too long.
   *
   * @param onWhole run before the end of a complete response, after which its attempt is cancelled
   */
  private Flux<List<ResponsePart>> hold(
      OpenAttempt attempt, Flux<ResponsePart> parts, Runnable onWhole) {
    boolean hasBody = !routed.request().method().equals(HttpMethod.HEAD);
    HeldResponse held =
        new HeldResponse(
            attempt.getPeer(), attempt.getMemory(), routed.route().isRetryable(), hasBody);
    return parts
        .concatMapIterable(part -> add(attempt, held, part), PREFETCHED_PARTS)
        .concatWith(Mono.fromSupplier(() -> end(attempt, held, onWhole)))
        .filter(received -> !received.isEmpty());
  }

  /** Returns the parts that are held at the end of a complete response. */
  private List<ResponsePart> end(OpenAttempt attempt, HeldResponse held, Runnable onWhole) {
    held.end();
    List<ResponsePart> whole = held.isPassedOn() ? List.of() : evaluate(attempt, held.getParts());
    onWhole.run();
    return whole;
  }

  private Iterable<List<ResponsePart>> add(
      OpenAttempt attempt, HeldResponse held, ResponsePart part) {
    List<ResponsePart> passedOn = held.add(part);
    if (held.isPassedOn() && !attempt.isPassedOn()) {
      attempt.setPassedOn();
      context.crashGuard().onSuccess(fingerprints);
    }
    return List.of(passedOn);
  }

  /** Returns a complete response, or fails the attempt if it is an error that may be retried. */
  private List<ResponsePart> evaluate(OpenAttempt attempt, List<ResponsePart> parts) {
    if (parts.isEmpty()) {
      throw new AttemptException(
          STEP, attempt.getPeer(), Outcome.UNKNOWN, "the response has no head", null);
    }
    TargetAnswer response = ((ResponsePart.Head) parts.get(0)).response();
    context.crashGuard().onSuccess(fingerprints);
    if (response.isSuccess() || !routed.route().isRetryable()) {
      return parts;
    }
    attempt.setErrorResponse(parts);
    String message = "the target responded with status " + response.status();
    throw new AttemptException(STEP, attempt.getPeer(), Outcome.RAN, message, null);
  }

  private List<StreamAttempt.Delivery> processPart(
      OpenAttempt attempt, Target target, RequestRun run, Object streamKey, ResponsePart part) {
    if (part instanceof ResponsePart.Head received) {
      placer.onResponse(target, received.response());
    }
    StreamAttempt current = attempt.getStream();
    int eventsBefore = current.getEvents();
    int repeatedBefore = current.getRepeatedEvents();
    List<StreamAttempt.Delivery> deliveries = add(attempt, part);
    if (current.getEvents() > eventsBefore) {
      run.onEvents(current.getEvents(), context.clock().nanoTime());
    }
    int repeated = current.getRepeatedEvents() - repeatedBefore;
    if (repeated > 0) {
      context.stallWatch().onRepeatedEvent(streamKey);
    }
    for (int i = eventsBefore + repeated; i < current.getEvents(); i++) {
      recordProgress(target, streamKey);
      attempt.getSuccessors().onProgress();
    }
    return deliveries;
  }

  private List<StreamAttempt.Delivery> add(OpenAttempt attempt, ResponsePart part) {
    StreamAttempt current = attempt.getStream();
    boolean hadEvents = current.getEvents() > 0;
    List<StreamAttempt.Delivery> deliveries = current.add(part);
    attempt.onWaiting(deliveries.size());
    if (!attempt.getMemory().tryHold(current.getHeldBytes())) {
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
      context.placer().onSignOfLife(target.id());
    }
  }

  private static Flux<StreamAttempt.Delivery> endStream(
      OpenAttempt attempt, boolean isEndVerified) {
    try {
      List<StreamAttempt.Delivery> deliveries = attempt.getStream().end(isEndVerified);
      attempt.onWaiting(deliveries.size());
      return Flux.fromIterable(deliveries);
    } catch (AttemptException e) {
      if (e.getOutcome() == Outcome.RAN) {
        attempt.setErrorResponse(attempt.getStream().getErrorResponse());
      }
      return Flux.error(e);
    }
  }
}
