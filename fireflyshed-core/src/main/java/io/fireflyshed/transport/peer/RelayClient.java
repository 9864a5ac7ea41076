package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.attempt.Outcome;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.coordination.relay.RelayPeerSelector;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.forward.AcceptedRelay;
import io.fireflyshed.transport.forward.ForwardException;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends requests to other entries. {@link #relay} and {@link #offer} are thread safe; everything
 * else is used on the thread of the connections only.
 */
final class RelayClient {

  /**
   * The requests that are relayed at the same time. Each may hold 256 KiB of an unread response;
   * callers that read at their usual pace leave almost nothing unread.
   */
  static final int MAX_EXCHANGES = 256;

  /** The retry delay while too many requests are relayed. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final PeerConnections connections;
  private final Supplier<List<EntryPeer>> peers;
  private final Runnable refresh;
  private final RelayPeerSelector selector;
  private final ByteBudget budget;
  private final MonotonicClock clock;
  private final RelayTiming timing;
  private final RelayMetrics metrics;
  private final EventLog log;
  private final Map<PeerId, RelayLink> links = new HashMap<>();
  private final Map<Channel, RelayLink> linksByChannel = new HashMap<>();
  private final Set<RelayExchange> exchanges = new HashSet<>();
  private boolean isClosed;

  RelayClient(
      PeerConnections connections,
      Supplier<List<EntryPeer>> peers,
      Runnable refresh,
      RelayPeerSelector selector,
      ByteBudget budget,
      MonotonicClock clock,
      RelayTiming timing,
      RelayMetrics metrics,
      EventLog log) {
    this.connections = connections;
    this.peers = peers;
    this.refresh = refresh;
    this.selector = selector;
    this.budget = budget;
    this.clock = clock;
    this.timing = timing;
    this.metrics = metrics;
    this.log = log;
  }

  Flux<ResponsePart> relay(RelayedRequest request) {
    return Flux.defer(
        () -> {
          long startNanos = clock.nanoTime();
          RelayExchange[] exchange = new RelayExchange[1];
          Flux<ResponsePart> parts =
              Flux.create(
                  sink -> {
                    exchange[0] = RelayExchange.of(this, request, sink, startNanos);
                    sink.onDispose(() -> execute(exchange[0]::dispose));
                    start(exchange[0], sink::isCancelled, sink::error);
                  });
          return parts.doOnNext(part -> exchange[0].onConsumed(part));
        });
  }

  Mono<AcceptedRelay> offer(RelayedRequest request) {
    return Mono.create(
        sink -> {
          RelayExchange exchange = RelayExchange.ofOffer(this, request, sink, clock.nanoTime());
          sink.onCancel(() -> execute(exchange::dispose));
          start(exchange, () -> false, sink::error);
        });
  }

  private void start(
      RelayExchange exchange, BooleanSupplier isCancelled, Consumer<Throwable> onError) {
    try {
      connections.getExecutor().execute(() -> admit(exchange, isCancelled));
    } catch (RejectedExecutionException e) {
      onError.accept(newRefusal("this entry has stopped"));
    }
  }

  private void admit(RelayExchange exchange, BooleanSupplier isCancelled) {
    if (isCancelled.getAsBoolean()) {
      return;
    }
    if (isClosed || exchanges.size() >= MAX_EXCHANGES) {
      exchange.refuse(isClosed ? "this entry stops" : "too many requests are relayed");
      return;
    }
    exchanges.add(exchange);
    exchange.start();
  }

  private static ForwardException newRefusal(String message) {
    return new ForwardException(
        RelayExchange.STEP, "entry", message, Outcome.NOT_RUN, RETRY_AFTER, false);
  }

  long nanoTime() {
    return clock.nanoTime();
  }

  /** Creates an empty reservation for the unread response of an entry. */
  Optional<ByteBudget.Reservation> tryReserve(PeerId peer) {
    ByteOwner owner = new ByteOwner(ByteOwner.Kind.ENTRY, peer.value());
    return budget.tryReserve(new ByteClaim(ByteUse.RELAY, Set.of(owner), false), 0);
  }

  Future<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return connections.getExecutor().schedule(task, delay, unit);
  }

  /** Runs a task on the thread of the connections; after the end of the process it is dropped. */
  void execute(Runnable task) {
    try {
      connections.getExecutor().execute(task);
    } catch (RejectedExecutionException e) {
      log.info("relay task dropped", "reason", "the connections are closed");
    }
  }

  /**
   * Asks an entry a question. Thread safe.
   *
   * @param peer the entry, not null
   * @param question creates the frame of the question with the id of the call, not null
   * @param answerCase the kind of frame that answers it, not null
   * @param timeout the longest wait, not null
   */
  CompletableFuture<PeerProto.Frame> ask(
      EntryPeer peer,
      LongFunction<PeerProto.Frame> question,
      PeerProto.Frame.BodyCase answerCase,
      Duration timeout) {
    CompletableFuture<PeerProto.Frame> answer = new CompletableFuture<>();
    try {
      connections
          .getExecutor()
          .execute(() -> start(newCall(peer, question, answerCase, answer), timeout));
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(newRefusal("this entry has stopped"));
    }
    return answer;
  }

  private QuestionCall newCall(
      EntryPeer peer,
      LongFunction<PeerProto.Frame> question,
      PeerProto.Frame.BodyCase answerCase,
      CompletableFuture<PeerProto.Frame> answer) {
    return new QuestionCall(getLink(peer), question, answerCase, answer, clock.nanoTime());
  }

  private void start(QuestionCall call, Duration timeout) {
    call.setTimer(schedule(() -> onUnanswered(call), timeout.toMillis(), TimeUnit.MILLISECONDS));
    if (call.getLink().isReady()) {
      call.onLinkReady();
    }
  }

  /** Gives up a question, and its link if nothing has come on it since the question. */
  private void onUnanswered(QuestionCall call) {
    call.onTimeout();
    if (call.getLink().isSilentSince(call.getStartNanos())) {
      onSilent(call.getLink());
    }
  }

  /** Selects an entry and returns an open link to it, or null if no entry can be tried. */
  RelayLink selectLink(String pool, Set<PeerId> triedPeers) {
    return selector
        .select(peers.get(), pool, triedPeers, clock.nanoTime())
        .map(this::getLink)
        .orElse(null);
  }

  /** Handles that a request was offered to no entry, since none is known or usable. */
  void onNoneUsable() {
    refresh.run();
  }

  private RelayLink getLink(EntryPeer peer) {
    RelayLink link = links.get(peer.id());
    if (link != null && link.getPeer().address().equals(peer.address()) && !link.isSilent()) {
      return link;
    }
    if (link != null) {
      link.retire();
    }
    RelayLink newLink = new RelayLink(peer, connections, clock, timing);
    links.put(peer.id(), newLink);
    linksByChannel.put(newLink.getChannel(), newLink);
    newLink
        .getConnected()
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                onLost(newLink, "can't be connected: " + future.cause().getMessage());
              }
            });
    newLink
        .getChannel()
        .closeFuture()
        .addListener(future -> onLost(newLink, "closed the connection"));
    return newLink;
  }

  Duration getOfferTimeout(RelayLink link) {
    return link.isReady() ? timing.offerTimeout() : timing.firstOfferTimeout();
  }

  void onOffer(RelayLink link) {
    selector.onStart(link.getPeer().id());
  }

  void onOfferFailed(RelayLink link, String reason, String result) {
    metrics.recordOffer(result);
    PeerId peer = link.getPeer().id();
    selector.onEnd(peer);
    if (selector.onFailure(peer, clock.nanoTime())) {
      logLost(link, reason);
    }
  }

  /** Handles a refusal, which says nothing about the requests of other pools. */
  void onRefused(RelayLink link, String pool, Duration retryAfter) {
    metrics.recordOffer("refused");
    leaveOut(link, pool, retryAfter, "refused the offer for " + pool);
  }

  /** Handles that an entry accepted a request but failed before anything ran. */
  void onNotRun(RelayLink link, String pool, Duration retryAfter) {
    metrics.recordOffer("not run");
    leaveOut(link, pool, retryAfter, "did not run a request for " + pool);
  }

  /**
   * Handles that an entry ran nothing of a request for which it may not use some targets, which
   * says nothing about other requests.
   */
  void onExcluded(RelayLink link) {
    metrics.recordOffer("not run");
    selector.onEnd(link.getPeer().id());
  }

  private void leaveOut(RelayLink link, String pool, Duration retryAfter, String reason) {
    PeerId peer = link.getPeer().id();
    selector.onEnd(peer);
    if (selector.onRefusal(peer, pool, retryAfter, clock.nanoTime())) {
      logLost(link, reason);
    }
  }

  private void logLost(RelayLink link, String reason) {
    EntryPeer peer = link.getPeer();
    log.warn("relay peer lost", "peer", peer.id(), "address", peer.address(), "reason", reason);
  }

  void onAccepted(RelayLink link, String pool) {
    metrics.recordOffer("accepted");
    if (selector.onSuccess(link.getPeer().id(), pool)) {
      log.info("relay peer regained", "peer", link.getPeer().id());
    }
  }

  /** Gives up a link on which an offer was not answered; requests in flight may still end. */
  void onSilent(RelayLink link) {
    links.remove(link.getPeer().id(), link);
    link.retire();
  }

  void onReleased(RelayLink link) {
    selector.onEnd(link.getPeer().id());
  }

  void onEnded(RelayExchange exchange, String outcome, String reason) {
    exchanges.remove(exchange);
    metrics.recordSent(outcome);
    log.info(
        exchange.isSent() ? "relayed" : "not relayed",
        "request",
        exchange.getRequest().routed().request().id(),
        "peer",
        exchange.getPeerText(),
        "left_ms",
        exchange.getPassedOn().toMillis(),
        "outcome",
        outcome,
        "reason",
        reason,
        "offers",
        exchange.getOfferCount());
  }

  /** Handles the hello frame of a peer. Links that this process did not open are ignored. */
  void onReady(PeerId sender, Channel channel) {
    RelayLink link = linksByChannel.get(channel);
    if (link == null) {
      return;
    }
    if (!link.accept(sender)) {
      onLost(link, "is entry " + sender + " or doesn't support relays");
      return;
    }
    link.getCalls().forEach(LinkCall::onLinkReady);
  }

  void onFrame(PeerProto.Frame frame, Channel channel) {
    RelayLink link = linksByChannel.get(channel);
    if (link == null) {
      return;
    }
    link.onReceived();
    LinkCall call = link.find(frame.getRequest());
    if (call != null) {
      call.onFrame(frame);
    }
  }

  void onWritable(Channel channel) {
    RelayLink link = linksByChannel.get(channel);
    if (link != null) {
      link.getCalls().forEach(LinkCall::onWritable);
    }
  }

  private void onLost(RelayLink link, String reason) {
    if (linksByChannel.remove(link.getChannel()) == null) {
      return;
    }
    links.remove(link.getPeer().id(), link);
    link.close().forEach(e -> e.onLinkLost(reason));
  }

  /** Returns the number of connections that this process opened. */
  int countLinks() {
    return linksByChannel.size();
  }

  /** Fails all requests and takes no more. */
  void close() {
    isClosed = true;
    List.copyOf(exchanges).forEach(RelayExchange::onClosed);
  }
}
