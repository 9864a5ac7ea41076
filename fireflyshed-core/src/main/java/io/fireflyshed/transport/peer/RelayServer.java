package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.http.HeldBody;
import io.fireflyshed.transport.log.EventLog;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import reactor.core.publisher.Flux;

/** Serves requests for other entries. Used on the thread of the connections only. */
final class RelayServer {

  /**
   * The requests that are served for others at the same time; all requests of twice as many entries
   * as this process has neighbours stay below it.
   */
  static final int MAX_SERVED = 256;

  /** The retry delay of offers while too many requests are served; most take less than that. */
  static final Duration BUSY_DELAY = Duration.ofMillis(500);

  /** The retry delay of offers while this entry shuts down, which takes some seconds. */
  static final Duration STOPPING_DELAY = Duration.ofSeconds(4);

  /** The silence after which a peer whose requests are served is lost; it probes its links. */
  private static final Duration MAX_SILENCE = Duration.ofSeconds(3);

  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Holds what belongs to one connection. */
  private static final class PeerState {
    private final Map<Long, ServedRelay> relays = new HashMap<>();
    private long lastId;
    private long receivedNanos;
    private boolean isChecked;
  }

  private final PeerConnections connections;
  private final Function<RelayOffer, Optional<Duration>> admission;
  private final Function<RelayedRequest, Flux<ResponsePart>> forwarder;
  private final ByteBudget budget;
  private final MonotonicClock clock;
  private final RelayMetrics metrics;
  private final EventLog log;
  private final Map<Channel, PeerState> states = new HashMap<>();
  private final List<CompletableFuture<Integer>> idleWaits = new ArrayList<>();
  private volatile int served;
  private volatile boolean isStopping;

  RelayServer(
      PeerConnections connections,
      Function<RelayOffer, Optional<Duration>> admission,
      Function<RelayedRequest, Flux<ResponsePart>> forwarder,
      ByteBudget budget,
      MonotonicClock clock,
      RelayMetrics metrics,
      EventLog log) {
    this.connections = connections;
    this.admission = admission;
    this.forwarder = forwarder;
    this.budget = budget;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
  }

  void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {
    PeerState state = states.get(channel);
    if (state != null) {
      state.receivedNanos = clock.nanoTime();
    }
    long id = frame.getRequest();
    switch (frame.getBodyCase()) {
      case RELAY_OFFER -> onOffer(peer, id, frame.getRelayOffer(), channel);
      case RELAY_REQUEST, RELAY_BODY, RELAY_CANCEL, RELAY_CREDIT -> {
        ServedRelay relay = state == null ? null : state.relays.get(id);
        // Frames of a relay that ended are late.
        if (relay != null) {
          relay.onFrame(frame);
        }
      }
      default -> {
        // Other frames don't belong to a relay that is served here.
      }
    }
  }

  private void onOffer(PeerId peer, long id, PeerProto.RelayOffer message, Channel channel) {
    PeerState state = states.computeIfAbsent(channel, c -> new PeerState());
    if (id <= state.lastId) {
      return;
    }
    state.lastId = id;
    state.receivedNanos = clock.nanoTime();
    if (isStopping) {
      refuse(channel, id, "stopping", STOPPING_DELAY);
      return;
    }
    if (served >= MAX_SERVED) {
      refuse(channel, id, "busy", BUSY_DELAY);
      return;
    }
    Optional<Duration> refusal = admission.apply(RelayFrameUtils.fromOffer(message));
    if (refusal.isPresent()) {
      refuse(channel, id, "not placed", refusal.get());
      return;
    }
    Optional<HeldBody> body = tryHold(peer, Integer.toUnsignedLong(message.getBodyBytes()));
    if (body.isEmpty()) {
      refuse(channel, id, "busy", BUSY_DELAY);
      return;
    }
    served++;
    int bodyBytes = message.getBodyBytes();
    state.relays.put(id, new ServedRelay(this, peer, channel, id, bodyBytes, body.get()));
    connections.writeOrClose(channel, RelayFrameUtils.toAcceptance(id));
    startChecking(channel, state);
  }

  private Optional<HeldBody> tryHold(PeerId peer, long bodyBytes) {
    if (bodyBytes > Integer.MAX_VALUE) {
      return Optional.empty();
    }
    ByteOwner owner = new ByteOwner(ByteOwner.Kind.ENTRY, peer.value());
    return budget
        .tryReserve(new ByteClaim(ByteUse.RELAY, Set.of(owner), false), bodyBytes)
        .map(reservation -> new HeldBody(Optional.of(reservation), (int) bodyBytes));
  }

  private void refuse(Channel channel, long id, String reason, Duration retryAfter) {
    metrics.recordRefusal(reason);
    connections.writeOrClose(channel, RelayFrameUtils.toRefusal(id, retryAfter));
  }

  /** Closes the connections of peers that have fallen silent, so that their requests end. */
  private void startChecking(Channel channel, PeerState state) {
    if (!state.isChecked) {
      state.isChecked = true;
      schedule(() -> checkSilence(channel, state), SILENCE_CHECK_INTERVAL);
    }
  }

  private void checkSilence(Channel channel, PeerState state) {
    state.isChecked = false;
    if (state.relays.isEmpty() || !channel.isActive()) {
      return;
    }
    if (clock.nanoTime() - state.receivedNanos >= MAX_SILENCE.toNanos()) {
      log.warn("relay sender lost", "address", channel.remoteAddress(), "reason", "is silent");
      channel.close();
    } else {
      startChecking(channel, state);
    }
  }

  /** Runs a task again and again until it is cancelled. */
  Future<?> repeat(Runnable task, Duration interval) {
    long millis = interval.toMillis();
    return connections
        .getExecutor()
        .scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Records that a request was read late. */
  void onLateRead(ServedRelay relay, Duration delay) {
    metrics.recordLateRead(delay);
    log.info(
        "relay read late",
        "request",
        relay.getRequestId(),
        "peer",
        relay.getPeer(),
        "waited_ms",
        delay.toMillis());
  }

  Future<?> schedule(Runnable task, Duration delay) {
    return connections.getExecutor().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Runs a task on the thread of the connections; after the end of the process it is dropped. */
  void execute(Runnable task) {
    try {
      connections.getExecutor().execute(task);
    } catch (RejectedExecutionException e) {
      log.info("relay task dropped", "reason", "the connections are closed");
    }
  }

  long nanoTime() {
    return clock.nanoTime();
  }

  Flux<ResponsePart> forward(RelayedRequest request) {
    return Flux.defer(() -> forwarder.apply(request));
  }

  void write(Channel channel, PeerProto.Frame frame) {
    connections.writeOrClose(channel, frame);
  }

  /** Ends a relay after its last frame, if any, was written. */
  void onEnded(ServedRelay relay, Optional<PeerProto.Frame> lastFrame, String outcome) {
    PeerState state = states.get(relay.getChannel());
    if (state != null) {
      state.relays.remove(relay.getId());
    }
    if (relay.isStarted()) {
      metrics.recordServed(outcome);
    }
    List<Object> fields =
        new ArrayList<>(
            List.of(
                "request",
                relay.getRequestId(),
                "peer",
                relay.getPeer(),
                "left_ms",
                relay.getRemaining().toMillis(),
                "outcome",
                outcome));
    relay.getHead().ifPresent(head -> fields.addAll(head.getLogFields()));
    log.info(relay.isStarted() ? "relay served" : "relay not started", fields.toArray());
    if (lastFrame.isPresent()) {
      connections
          .writeOrClose(relay.getChannel(), lastFrame.get())
          .addListener(future -> onReleased());
    } else {
      onReleased();
    }
  }

  private void onReleased() {
    served--;
    if (served == 0) {
      idleWaits.forEach(wait -> wait.complete(0));
      idleWaits.clear();
    }
  }

  void onWritable(Channel channel) {
    PeerState state = states.get(channel);
    if (state != null) {
      List.copyOf(state.relays.values()).forEach(ServedRelay::drain);
    }
  }

  void onClosed(Channel channel) {
    PeerState state = states.remove(channel);
    if (state != null) {
      List.copyOf(state.relays.values()).forEach(ServedRelay::cancel);
    }
  }

  int getServedCount() {
    return served;
  }

  /** Refuses all later offers. Thread safe. */
  void stopAccepting() {
    isStopping = true;
  }

  /** Completes a future with 0 when no request is served, or with their number after a timeout. */
  void awaitIdle(CompletableFuture<Integer> result, Duration timeout) {
    if (served == 0) {
      result.complete(0);
      return;
    }
    idleWaits.add(result);
    schedule(() -> result.complete(served), timeout);
  }
}
