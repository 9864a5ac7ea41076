package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.relay.RelayPeerSelector;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.traffic.TargetAnswer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.forward.AcceptedRelay;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayListener;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponseOrigin;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.http.HeldBody;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.MonoSink;

/**
 * Relays one request: offers it to entries until one accepts it, sends it to that entry once, and
 * passes on the response.
 *
 * <p>Until the request is handed to a connection, each failure leads to the next entry and the
 * outcome is NOT_RUN; afterwards the request is sent again only if the entry states that it didn't
 * run. Used on the thread of the connections only, except {@link #onConsumed}.
 */
final class RelayExchange implements LinkCall {

  /** The number of entries to which a request is offered, of which most may refuse. */
  static final int MAX_OFFERS = RelayPeerSelector.MAX_OFFERS;

  /**
   * The number of entries that may fail to answer, to be connected or to run the request. Each
   * takes up to 300 ms or more, and more entries would use up the time of the caller.
   */
  static final int MAX_FAILED_OFFERS = 3;

  /**
   * The part of the remaining time, as a divisor, after which no more than {@link
   * #MAX_FAILED_OFFERS} offers are made, so that slow refusals leave time for the response.
   */
  private static final int OFFER_TIME_DIVISOR = 4;

  /**
   * The frames of a response that may be unread, each of at most 32 KiB, which bounds what a caller
   * that reads slowly makes this process hold.
   */
  static final int WINDOW_FRAMES = 8;

  /** No request is relayed with less remaining time, since no target can respond within it. */
  static final Duration MIN_REMAINING = Duration.ofMillis(20);

  /** The retry delay of requests that no entry took; entries are tried again after that. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  static final String STEP = "relay";

  /** The request that an entry accepted, to be sent by the thread that gives up its attempt. */
  private final class HeldOffer implements AcceptedRelay {
    @Override
    public Flux<ResponsePart> send(RelayedRequest current) {
      return Flux.<ResponsePart>create(
              responseSink -> {
                responseSink.onDispose(() -> client.execute(RelayExchange.this::dispose));
                long useNanos = client.nanoTime();
                client.execute(() -> useOffer(current, useNanos, responseSink));
              })
          .doOnNext(RelayExchange.this::onConsumed);
    }

    @Override
    public void cancel() {
      client.execute(RelayExchange.this::dispose);
    }
  }

  private final RelayClient client;
  private RelayedRequest request;

  /** Takes the response, null while the request is only offered. */
  private FluxSink<ResponsePart> sink;

  /** Takes the acceptance, empty if the request is sent at once. */
  private final Optional<MonoSink<AcceptedRelay>> offerSink;

  private long startNanos;
  private final Set<PeerId> triedPeers = new HashSet<>();
  private final AtomicInteger consumed = new AtomicInteger();
  private RelayLink link;
  private long id;
  private long offerNanos;
  private Future<?> offerTimer;
  private Future<?> deadlineTimer;
  private String lastFailure = "no other entry is known or usable";
  private Duration refusalDelay = RETRY_AFTER;
  private Duration passedOn = Duration.ZERO;
  private int failedOffers;
  private ForwardException notRunFailure;
  private boolean isSent;

  /** Whether an entry accepted the offer and waits for the request. */
  private boolean isAccepted;

  /** The failure of an offer after it was accepted. */
  private ForwardException offerFailure;

  /** The bytes of the body that were written to the connection. */
  private int sentBodyBytes;

  private boolean isEnded;
  private Optional<ByteBudget.Reservation> unread = Optional.empty();
  private int granted = WINDOW_FRAMES;
  private int nextSequence;

  private RelayExchange(
      RelayClient client,
      RelayedRequest request,
      FluxSink<ResponsePart> sink,
      Optional<MonoSink<AcceptedRelay>> offerSink,
      long startNanos) {
    this.client = client;
    this.request = request;
    this.sink = sink;
    this.offerSink = offerSink;
    this.startNanos = startNanos;
  }

  /** Creates an exchange that sends the request to the entry that accepts it. */
  static RelayExchange of(
      RelayClient client, RelayedRequest request, FluxSink<ResponsePart> sink, long startNanos) {
    return new RelayExchange(client, request, sink, Optional.empty(), startNanos);
  }

  /** Creates an exchange that holds the request back until the accepted offer is used. */
  static RelayExchange ofOffer(
      RelayClient client, RelayedRequest request, MonoSink<AcceptedRelay> sink, long startNanos) {
    return new RelayExchange(client, request, null, Optional.of(sink), startNanos);
  }

  @Override
  public boolean isSent() {
    return isSent;
  }

  RelayedRequest getRequest() {
    return request;
  }

  /** Returns the entry to which the request was offered last, or a dash. */
  String getPeerText() {
    return link == null ? "-" : link.getPeer().id().value();
  }

  Duration getPassedOn() {
    return passedOn;
  }

  int getOfferCount() {
    return triedPeers.size();
  }

  void start() {
    if (isEnded) {
      return;
    }
    Duration remaining = getRemaining();
    deadlineTimer =
        client.schedule(this::onDeadline, Math.max(0, remaining.toNanos()), TimeUnit.NANOSECONDS);
    offerNext();
  }

  private Duration getRemaining() {
    return request.remaining().minusNanos(client.nanoTime() - startNanos);
  }

  private void offerNext() {
    link = null;
    if (getRemaining().compareTo(MIN_REMAINING) < 0) {
      fail(newException("-", "the time is over: " + lastFailure, Outcome.NOT_RUN, true));
      return;
    }
    link = isOfferAllowed() ? client.selectLink(getPool(), triedPeers) : null;
    if (link == null) {
      if (triedPeers.isEmpty()) {
        client.onNoneUsable();
      }
      fail(
          notRunFailure == null
              ? newException("-", "no entry took it: " + lastFailure, Outcome.NOT_RUN, false)
              : notRunFailure);
      return;
    }
    triedPeers.add(link.getPeer().id());
    id = link.add(this);
    offerNanos = client.nanoTime();
    client.onOffer(link);
    Duration timeout = client.getOfferTimeout(link);
    offerTimer = client.schedule(this::onUnanswered, timeout.toMillis(), TimeUnit.MILLISECONDS);
    if (link.isReady()) {
      sendOffer();
    }
  }

  private String getPool() {
    return request.routed().getPool();
  }

  private boolean isOfferAllowed() {
    if (triedPeers.size() >= MAX_OFFERS || failedOffers >= MAX_FAILED_OFFERS) {
      return false;
    }
    long usedNanos = client.nanoTime() - startNanos;
    return triedPeers.size() < MAX_FAILED_OFFERS
        || usedNanos <= request.remaining().toNanos() / OFFER_TIME_DIVISOR;
  }

  @Override
  public void onLinkReady() {
    sendOffer();
  }

  private void sendOffer() {
    offerNanos = client.nanoTime();
    link.write(RelayFrameUtils.toOffer(id, request));
  }

  private void onUnanswered() {
    if (!isEnded && !isSent && !isAccepted) {
      RelayLink silentLink = link;
      boolean isSilent = link.isSilentSince(offerNanos);
      sendCancel();
      failedOffers++;
      moveOn("did not answer the offer", "unanswered");
      if (isSilent) {
        client.onSilent(silentLink);
      }
    }
  }

  /** Moves on to the next entry after a failure before the request was sent. */
  private void moveOn(String reason, String result) {
    removeOffer(reason);
    client.onOfferFailed(link, reason, result);
    offerNext();
  }

  private void removeOffer(String reason) {
    offerTimer.cancel(false);
    link.remove(id);
    lastFailure = link.getPeer().id() + " " + reason;
  }

  private void onReply(PeerProto.RelayReply reply) {
    if (isSent) {
      RelayListener listener = request.listener();
      RelayFrameUtils.toTarget(reply)
          .ifPresent(reply.getAccepted() ? listener::onAttempt : listener::onUnreachable);
      return;
    }
    if (isAccepted) {
      return;
    }
    if (!reply.getAccepted()) {
      Duration delay = RelayFrameUtils.toRetryAfter(reply);
      refusalDelay = delay.compareTo(refusalDelay) < 0 ? delay : refusalDelay;
      removeOffer("refused the offer");
      client.onRefused(link, getPool(), delay);
      offerNext();
      return;
    }
    offerTimer.cancel(false);
    client.onAccepted(link, getPool());
    isAccepted = true;
    if (sink == null) {
      offerSink.ifPresent(s -> s.success(new HeldOffer()));
    } else {
      sendRequest();
    }
  }

  private void sendRequest() {
    passedOn = getRemaining();
    PeerProto.Frame frame = RelayFrameUtils.toRequest(id, request, passedOn, WINDOW_FRAMES);
    if (frame.getSerializedSize() > PeerFrameDecoder.MAX_FRAME_BYTES) {
      link.write(RelayFrameUtils.toCancel(id));
      fail(newException(getPeerText(), "its head is too long", Outcome.NOT_RUN, false));
      return;
    }
    isSent = true;
    sentBodyBytes = 0;
    link.write(frame);
    link.startProbing();
    onWritable();
  }

  @Override
  public void onFrame(PeerProto.Frame frame) {
    switch (frame.getBodyCase()) {
      case RELAY_REPLY -> onReply(frame.getRelayReply());
      case RELAY_HEAD -> onHead(frame.getRelayHead());
      case RELAY_CHUNK -> onChunk(frame.getRelayChunk());
      case RELAY_END -> onEnd(frame.getRelayEnd());
      case RELAY_FAILURE -> onFailure(frame.getRelayFailure());
      default -> {
        // Other frames don't belong to a relay that this process started.
      }
    }
  }

  /** Sends more of the body, as far as the connection takes it. */
  @Override
  public void onWritable() {
    HeldBody body = request.routed().body();
    while (isSent && sentBodyBytes < body.getLength() && link.isWritable()) {
      Optional<PeerProto.Frame> frame = RelayFrameUtils.toBodyPart(id, body, sentBodyBytes);
      if (frame.isEmpty()) {
        // The caller has left, and the cancellation is on its way to this thread.
        return;
      }
      sentBodyBytes += frame.get().getRelayBody().getBytes().size();
      link.write(frame.get());
    }
  }

  private void onHead(PeerProto.RelayHead head) {
    if (isNext(head.getSequence(), nextSequence == 0)) {
      ResponseOrigin origin = ResponseOrigin.ofEntry(link.getPeer().id());
      TargetAnswer response;
      try {
        response = RelayFrameUtils.fromHead(head);
      } catch (IllegalArgumentException e) {
        failOnWire(e.getMessage());
        return;
      }
      sink.next(new ResponsePart.Head(response, origin));
    }
  }

  private void onChunk(PeerProto.RelayChunk chunk) {
    if (!isNext(chunk.getSequence(), nextSequence > 0)) {
      return;
    }
    if (!holdUnread(chunk.getBytes().size())) {
      failOnWire("no memory is left for the response");
      return;
    }
    sink.next(new ResponsePart.BodyChunk(chunk.getBytes().toByteArray()));
  }

  /** Counts a part of the response until the caller has taken it. */
  private boolean holdUnread(int bytes) {
    if (unread.isEmpty()) {
      unread = client.tryReserve(link.getPeer().id());
    }
    return unread.map(reservation -> reservation.tryGrow(bytes)).orElse(false);
  }

  private void onEnd(PeerProto.RelayEnd end) {
    if (!isSent) {
      return;
    }
    if (end.getSequence() != nextSequence || nextSequence == 0) {
      failOnWire("the response ends after frame " + nextSequence + " of " + end.getSequence());
      return;
    }
    request.listener().onEnd(Outcome.RAN);
    end(RelayMetrics.COMPLETE, "");
    sink.complete();
  }

  /** Tests whether a frame continues the response; a frame that came before is ignored. */
  private boolean isNext(int sequence, boolean isAllowed) {
    if (!isSent || sequence < nextSequence) {
      return false;
    }
    if (sequence > nextSequence || !isAllowed || nextSequence >= granted) {
      failOnWire("frame " + sequence + " of the response doesn't follow " + nextSequence);
      return false;
    }
    nextSequence++;
    return true;
  }

  private void failOnWire(String message) {
    link.write(RelayFrameUtils.toCancel(id));
    fail(newException(getPeerText(), message, Outcome.UNKNOWN, false));
  }

  private void onFailure(PeerProto.RelayFailure failure) {
    if (!isSent && !isAccepted) {
      return;
    }
    ForwardException error = RelayFrameUtils.fromFailure(failure);
    request.listener().onEnd(error.getOutcome());
    if (error.getOutcome() != Outcome.NOT_RUN || nextSequence > 0 || error.isTimeout()) {
      fail(error);
      return;
    }
    isSent = false;
    isAccepted = false;
    failedOffers++;
    notRunFailure = error;
    removeOffer("did not run it: " + error.getMessage());
    if (request.excludedTargets().isEmpty()) {
      client.onNotRun(link, getPool(), error.getRetryAfter());
    } else {
      client.onExcluded(link);
    }
    if (request.retryPermit().getAsBoolean()) {
      request = request.withoutRejectingTargets();
      offerNext();
    } else {
      // The entry was released above.
      link = null;
      fail(error);
    }
  }

  @Override
  public void onSilent(boolean isSilent) {
    if (isSent) {
      request.listener().onSilent(isSilent);
    }
  }

  @Override
  public void onLinkLost(String reason) {
    if (isEnded) {
      return;
    }
    if (isSent) {
      fail(newException(getPeerText(), reason, Outcome.UNKNOWN, false));
    } else {
      isAccepted = false;
      failedOffers++;
      moveOn(reason, "disconnected");
    }
  }

  private void onDeadline() {
    if (isEnded) {
      return;
    }
    sendCancel();
    Outcome outcome = isSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    fail(newException(getPeerText(), "the time of the request is over", outcome, true));
  }

  /** Handles that the subscriber has taken the whole response or has cancelled it. */
  void dispose() {
    unread.ifPresent(ByteBudget.Reservation::close);
    unread = Optional.empty();
    if (!isEnded) {
      sendCancel();
      end(RelayMetrics.CANCELLED, "");
    }
  }

  /** Fails a request that has not started, because this process can't take it. */
  void refuse(String reason) {
    fail(newException("entry", reason, Outcome.NOT_RUN, false));
  }

  /** Fails the request because this process closes its connections. */
  void onClosed() {
    if (!isEnded) {
      Outcome outcome = isSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      fail(newException(getPeerText(), "this entry stops", outcome, false));
    }
  }

  private void sendCancel() {
    if (link != null && link.isReady() && !link.isClosed()) {
      link.write(RelayFrameUtils.toCancel(id));
    }
  }

  /** Grants more frames after parts of the response were passed on. Thread safe. */
  void onConsumed(ResponsePart part) {
    if (part instanceof ResponsePart.BodyChunk chunk) {
      client.execute(() -> unread.ifPresent(held -> held.shrink(chunk.bytes().length)));
    }
    if (consumed.incrementAndGet() % (WINDOW_FRAMES / 2) == 0) {
      client.execute(this::grant);
    }
  }

  private void grant() {
    if (!isEnded) {
      granted += WINDOW_FRAMES / 2;
      link.write(RelayFrameUtils.toCredit(id, WINDOW_FRAMES / 2));
    }
  }

  private ForwardException newException(
      String peer, String message, Outcome outcome, boolean isTimeout) {
    return new ForwardException(STEP, peer, message, outcome, refusalDelay, isTimeout);
  }

  private void fail(ForwardException error) {
    end(error.getOutcome().getLabel(), error.getMessage());
    if (sink == null) {
      offerFailure = error;
      offerSink.ifPresent(s -> s.error(error));
    } else {
      sink.error(error);
    }
  }

  /** Sends the request on the accepted offer, or to the next entry if the offer was lost since. */
  private void useOffer(
      RelayedRequest current, long useNanos, FluxSink<ResponsePart> responseSink) {
    if (isEnded) {
      responseSink.error(
          offerFailure == null
              ? newException(getPeerText(), "the offer was withdrawn", Outcome.NOT_RUN, false)
              : offerFailure);
      return;
    }
    request = current;
    startNanos = useNanos;
    sink = responseSink;
    if (isAccepted) {
      sendRequest();
    }
  }

  private void end(String outcome, String reason) {
    isEnded = true;
    if (offerTimer != null) {
      offerTimer.cancel(false);
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    client.onEnded(this, outcome, reason);
    if (link != null) {
      client.onReleased(link);
      link.remove(id);
    }
  }
}
