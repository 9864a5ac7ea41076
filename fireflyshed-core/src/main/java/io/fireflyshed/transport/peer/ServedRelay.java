package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayListener;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.http.HeldBody;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/**
 * Serves one request for another entry, from the accepted offer to the end of the response.
 *
 * <p>The next part of the response is requested only after the frames of the part before were
 * written, which waits for the connection and for the peer's credit. Used on the thread of the
 * connections only.
 */
final class ServedRelay {

  /** The longest wait for the next frame of an accepted request. */
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

  /** The retry delay of requests that failed before they were forwarded. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  /** The retry delay of requests that were read after their time, which other entries can take. */
  private static final Duration LATE_RETRY_AFTER = Duration.ofMillis(50);

  /** The interval of passes over the connections from which the time of arrival is known. */
  private static final Duration PASS_INTERVAL = Duration.ofMillis(20);

  /** What may have waited for less is taken for read at once; several intervals of passes. */
  private static final Duration MIN_READ_DELAY = Duration.ofMillis(100);

  private static final String STEP = "serve-relay";

  /** Moves the signals of the response to the thread of the connections. */
  private final class PartSubscriber extends BaseSubscriber<ResponsePart> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      request(1);
    }

    @Override
    protected void hookOnNext(ResponsePart part) {
      server.execute(() -> onPart(part));
    }

    @Override
    protected void hookOnComplete() {
      server.execute(() -> onResponseEnd(Optional.empty()));
    }

    @Override
    protected void hookOnError(Throwable error) {
      server.execute(() -> onResponseEnd(Optional.of(toForwardException(error))));
    }
  }

  /** Tells the peer at which targets its request is tried. */
  private final class AttemptReporter implements RelayListener {
    @Override
    public void onAttempt(InstanceId target) {
      write(RelayFrameUtils.toAttempt(id, target));
    }

    @Override
    public void onUnreachable(InstanceId target) {
      write(RelayFrameUtils.toUnreachable(id, target));
    }

    private void write(PeerProto.Frame frame) {
      server.execute(
          () -> {
            if (!isEnded) {
              server.write(channel, frame);
            }
          });
    }

    @Override
    public void onEnd(Outcome outcome) {
      // The last frame of the response says so.
    }
  }

  private final RelayServer server;
  private final PeerId peer;
  private final Channel channel;
  private final long id;
  private final int bodyBytes;
  private final HeldBody body;
  private final Deque<PeerProto.Frame> unsent = new ArrayDeque<>();
  private final PartSubscriber subscriber = new PartSubscriber();
  private Future<?> requestTimer;
  private PeerProto.RelayRequest message;

  /** The time of the last pass, between which and the one before all connections were read. */
  private long passNanos;

  /** The time after which what is read now has arrived. */
  private long unreadNanos;

  private final Future<?> passes;

  /** The time of the arrival of the request, from which its time counts. */
  private long messageNanos;

  private boolean isStarted;
  private boolean isEnded;
  private boolean isPartAwaited;
  private boolean isResponseEnded;
  private Optional<ForwardException> error = Optional.empty();
  private Optional<ResponsePart.Head> head = Optional.empty();
  private long credit;
  private int nextSequence;

  ServedRelay(
      RelayServer server, PeerId peer, Channel channel, long id, int bodyBytes, HeldBody body) {
    this.server = server;
    this.peer = peer;
    this.channel = channel;
    this.id = id;
    this.bodyBytes = bodyBytes;
    this.body = body;
    this.passNanos = server.nanoTime();
    this.unreadNanos = passNanos;
    this.passes = server.repeat(this::onPass, PASS_INTERVAL);
    startRequestTimer();
  }

  PeerId getPeer() {
    return peer;
  }

  Channel getChannel() {
    return channel;
  }

  long getId() {
    return id;
  }

  /** Returns whether the request was passed to the forwarder. */
  boolean isStarted() {
    return isStarted;
  }

  /** Returns the id of the request, or a dash if it has not been received. */
  String getRequestId() {
    return message == null ? "-" : message.getId();
  }

  /** Returns the time that remained when the request was sent. */
  Duration getRemaining() {
    return Duration.ofMillis(message == null ? 0 : message.getRemainingMs());
  }

  /** Returns the head of the response that was passed on, empty if there is none. */
  Optional<ResponsePart.Head> getHead() {
    return head;
  }

  void onFrame(PeerProto.Frame frame) {
    switch (frame.getBodyCase()) {
      case RELAY_REQUEST -> onRequest(frame.getRelayRequest());
      case RELAY_BODY -> onBody(frame.getRelayBody());
      case RELAY_CREDIT -> {
        credit += Integer.toUnsignedLong(frame.getRelayCredit().getFrames());
        drain();
      }
      case RELAY_CANCEL -> cancel();
      default -> throw new IllegalArgumentException("not a frame of a relay");
    }
  }

  private void onRequest(PeerProto.RelayRequest request) {
    if (message != null) {
      return;
    }
    message = request;
    passes.cancel(false);
    messageNanos = findArrival();
    credit = Integer.toUnsignedLong(request.getCredit());
    if (request.getBodyBytes() == bodyBytes) {
      proceed();
    } else {
      failUnstarted("the body is not as long as the offer stated");
    }
  }

  private void onPass() {
    unreadNanos = passNanos;
    passNanos = server.nanoTime();
  }

  /** Returns the earliest time at which a frame that is read now may have arrived, or now. */
  private long findArrival() {
    long now = server.nanoTime();
    Duration delay = Duration.ofNanos(now - unreadNanos);
    if (delay.compareTo(MIN_READ_DELAY) < 0) {
      return now;
    }
    server.onLateRead(this, delay);
    return unreadNanos;
  }

  private void onBody(PeerProto.RelayBody part) {
    boolean isTooLong = part.getBytes().size() > bodyBytes - body.getLength();
    if (message == null
        || isStarted
        || isTooLong
        || !body.append(Unpooled.wrappedBuffer(part.getBytes().asReadOnlyByteBuffer()))) {
      failUnstarted("the body is longer than the offer stated or precedes the request");
      return;
    }
    proceed();
  }

  /** Starts the request if its body is complete. */
  private void proceed() {
    requestTimer.cancel(false);
    if (body.getLength() < bodyBytes) {
      startRequestTimer();
      return;
    }
    RelayedRequest request;
    try {
      request =
          subtractBodyTime(
              RelayFrameUtils.fromRequest(message, body, messageNanos, new AttemptReporter()));
    } catch (RuntimeException e) {
      failUnstarted("the request is not valid: " + e.getMessage());
      return;
    }
    if (request.remaining().compareTo(RelayExchange.MIN_REMAINING) < 0) {
      failUnstarted("the request was read after its time", LATE_RETRY_AFTER);
      return;
    }
    isStarted = true;
    isPartAwaited = true;
    server.forward(request).subscribe(subscriber);
  }

  /** Subtracts the time that passed since the first frame, after which the body arrived. */
  private RelayedRequest subtractBodyTime(RelayedRequest request) {
    Duration remaining = request.remaining().minusNanos(server.nanoTime() - messageNanos);
    return request.withRemaining(remaining.isNegative() ? Duration.ZERO : remaining);
  }

  private void startRequestTimer() {
    requestTimer =
        server.schedule(
            () -> failUnstarted("the request did not follow its offer"), REQUEST_TIMEOUT);
  }

  /** Fails a request that never runs here. Frames after a complete body are ignored. */
  private void failUnstarted(String text) {
    failUnstarted(text, RETRY_AFTER);
  }

  private void failUnstarted(String text, Duration retryAfter) {
    if (!isStarted && !isEnded) {
      ForwardException failure =
          new ForwardException(STEP, peer.value(), text, Outcome.NOT_RUN, retryAfter, false);
      end(Optional.of(RelayFrameUtils.toFailure(id, failure)), failure.getOutcome().getLabel());
    }
  }

  private void onPart(ResponsePart part) {
    if (isEnded) {
      return;
    }
    isPartAwaited = false;
    if (part instanceof ResponsePart.Head first) {
      head = Optional.of(first);
      PeerProto.Frame frame = RelayFrameUtils.toHead(id, nextSequence, first.response());
      if (frame.getSerializedSize() > PeerFrameDecoder.MAX_FRAME_BYTES) {
        subscriber.cancel();
        onResponseEnd(Optional.of(newUnknownFailure("the head of the response is too long")));
        return;
      }
      unsent.add(frame);
      nextSequence++;
    } else if (part instanceof ResponsePart.BodyChunk chunk) {
      List<PeerProto.Frame> frames = RelayFrameUtils.toChunks(id, nextSequence, chunk.bytes());
      unsent.addAll(frames);
      nextSequence += frames.size();
    }
    drain();
  }

  private void onResponseEnd(Optional<ForwardException> failure) {
    isResponseEnded = true;
    error = failure;
    drain();
  }

  /** Writes what the connection and the peer take, and requests the next part after the last. */
  void drain() {
    while (!isEnded && !unsent.isEmpty() && credit > 0 && channel.isWritable()) {
      credit--;
      server.write(channel, unsent.poll());
    }
    if (isEnded || !isStarted || !unsent.isEmpty()) {
      return;
    }
    if (isResponseEnded) {
      PeerProto.Frame lastFrame =
          error
              .map(e -> RelayFrameUtils.toFailure(id, e))
              .orElseGet(() -> RelayFrameUtils.toEnd(id, nextSequence));
      end(
          Optional.of(lastFrame),
          error.map(e -> e.getOutcome().getLabel()).orElse(RelayMetrics.COMPLETE));
    } else if (!isPartAwaited) {
      isPartAwaited = true;
      subscriber.request(1);
    }
  }

  /** Aborts the request because the peer cancelled it or its connection was closed. */
  void cancel() {
    if (!isEnded) {
      subscriber.cancel();
      end(Optional.empty(), RelayMetrics.CANCELLED);
    }
  }

  private void end(Optional<PeerProto.Frame> lastFrame, String outcome) {
    isEnded = true;
    unsent.clear();
    requestTimer.cancel(false);
    passes.cancel(false);
    body.close();
    server.onEnded(this, lastFrame, outcome);
  }

  private ForwardException toForwardException(Throwable failure) {
    return failure instanceof ForwardException forwardException
        ? forwardException
        : newUnknownFailure(failure.getClass().getSimpleName() + ": " + failure.getMessage());
  }

  private ForwardException newUnknownFailure(String text) {
    return new ForwardException(STEP, peer.value(), text, Outcome.UNKNOWN, RETRY_AFTER, false);
  }
}
