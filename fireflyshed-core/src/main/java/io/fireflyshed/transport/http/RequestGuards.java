package io.fireflyshed.transport.http;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteOwner;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.traffic.ClientLimits;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import reactor.netty.http.server.HttpServer;

/**
 * Guards the connections of HTTP servers of a process against peers that send more than they may,
 * and bounds the number of the connections. Thread safe.
 */
public final class RequestGuards {

  /** The reasons for which a connection is closed. */
  enum Reason {
    /** The head of a request is larger than the configuration permits. */
    LARGE_HEAD,
    /** Empty lines go on before a request. */
    EMPTY_LINES,
    /** The trailers of a body, or the extensions of its chunks, are larger than a head. */
    LARGE_TRAILERS,
    /** The head of a request doesn't end in time. */
    SLOW_HEAD,
    /** No room is left for the head of a request. */
    NO_ROOM,
    /** The head of a request, the largest that doesn't end, gave room for others. */
    EVICTED,
    /** The process has as many connections as it may have. */
    CONNECTIONS
  }

  /** More than {@link RequestGuard} lets through, so that the decoder's own limit isn't met. */
  private static final int DECODER_HEADER_BYTES = 64 << 10;

  private static final int DECODER_LINE_BYTES = 16 << 10;

  /** The limit of heads and the time for them while no configuration is known. */
  private static final int DEFAULT_HEADER_BYTES = 16 << 10;

  private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(3);

  /** The time between two log lines of a reason. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  /** What the heads of requests for readiness and metrics may take, and their connections. */
  private static final long OPERATOR_BYTES = 4 << 20;

  private static final int OPERATOR_CONNECTIONS = 128;

  /** The cost of the requests of a connection before the next one is due. */
  private static final int TURN_QUANTUM = 64;

  /** The cost of the requests of all connections in a turn of an event loop. */
  private static final int TURN_LIMIT = 512;

  static final AttributeKey<RequestGuard> GUARD =
      AttributeKey.valueOf(RequestGuards.class, "guard");

  /** Counts the closed connections of a reason. Guarded by itself. */
  private static final class Tally {
    private final Counter counter;
    private long unlogged;
    private Optional<Long> loggedNanos = Optional.empty();

    Tally(Counter counter) {
      this.counter = counter;
    }
  }

  private final Supplier<Optional<ClientLimits>> limits;
  private final ByteBudget budget;
  private final MonotonicClock clock;
  private final int maxConnections;
  private final Map<Reason, Tally> tallies = new EnumMap<>(Reason.class);
  private final Set<RequestGuard> guards = ConcurrentHashMap.newKeySet();
  private final Map<EventLoop, FairTurns> turns = new ConcurrentHashMap<>();
  private final EventLog log = new EventLog("http");

  /**
   * Creates guards without connections.
   *
   * @param limits gets the limits of the latest known configuration, empty to use defaults, not
   *     null
   * @param budget counts the bytes that this process holds, not null
   * @param clock the monotonic clock of this process, not null
   * @param maxConnections the number of connections to all servers together, positive
   * @param metrics registers the counters, not null
   */
  public RequestGuards(
      Supplier<Optional<ClientLimits>> limits,
      ByteBudget budget,
      MonotonicClock clock,
      int maxConnections,
      MeterRegistry metrics) {
    this(limits, budget, clock, maxConnections, metrics, "callers");
  }

  private RequestGuards(
      Supplier<Optional<ClientLimits>> limits,
      ByteBudget budget,
      MonotonicClock clock,
      int maxConnections,
      MeterRegistry metrics,
      String peers) {
    this.limits = Objects.requireNonNull(limits, "limits");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.maxConnections = maxConnections;
    for (Reason reason : Reason.values()) {
      tallies.put(
          reason,
          new Tally(metrics.counter("fireflyshed.callers.closed", "reason", reason.name())));
    }
    metrics.gauge(
        "fireflyshed.connections.waiting",
        Tags.of("peers", peers),
        guards,
        all -> all.stream().filter(RequestGuard::isWaiting).count());
  }

  /**
   * Creates guards for servers that don't serve callers, with a small budget of their own, so that
   * no crowd of callers takes their room.
   *
   * @param clock the monotonic clock of this process, not null
   * @param metrics registers the counters, not null
   * @return the guards, never null
   */
  public static RequestGuards ofOperators(MonotonicClock clock, MeterRegistry metrics) {
    ByteBudget own = new ByteBudget(OPERATOR_BYTES, clock, ByteBudget.Listener.none());
    return new RequestGuards(
        Optional::empty, own, clock, OPERATOR_CONNECTIONS, metrics, "operators");
  }

  /**
   * Guards the connections of a server.
   *
   * @param server the server, not null
   * @return the server with guards, never null
   */
  public HttpServer guard(HttpServer server) {
    return server
        .doOnChannelInit((observer, channel, remoteAddress) -> add(channel))
        .httpRequestDecoder(
            spec ->
                spec.maxHeaderSize(DECODER_HEADER_BYTES).maxInitialLineLength(DECODER_LINE_BYTES));
  }

  /**
   * Tests whether bytes of a connection were read and not yet decoded. Thread safe.
   *
   * @param channel the connection, not null
   * @return true if so; false if the connection has no guard
   */
  public static boolean hasWaitingBytes(Channel channel) {
    RequestGuard guard = channel.attr(GUARD).get();
    return guard != null && guard.isWaiting();
  }

  /**
   * Creates turns of an event loop. A task that the loop schedules while it runs tasks is due in
   * its next pass.
   */
  private static FairTurns newTurns(EventLoop loop) {
    return new FairTurns(
        TURN_QUANTUM,
        TURN_LIMIT,
        task -> loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS)));
  }

  /** Guards a connection whose pipeline already contains the HTTP codec. */
  private void add(Channel channel) {
    RequestGuard guard = new RequestGuard(this, channel);
    guard.addTo(channel.pipeline());
    new RequestValidator().addTo(channel.pipeline());
    guards.add(guard);
    channel.closeFuture().addListener(closed -> guards.remove(guard));
    if (guards.size() > maxConnections) {
      // The new connection has not sent anything yet, and others idle for longer.
      findOldest(other -> other != guard && other.isIdle())
          .or(() -> findOldest(RequestGuard::isUnread))
          .orElse(guard)
          .closeFor(Reason.CONNECTIONS);
    }
  }

  private Optional<RequestGuard> findOldest(Predicate<RequestGuard> condition) {
    return guards.stream()
        .filter(condition)
        .min(Comparator.comparingLong(RequestGuard::getProgressNanos));
  }

  /** Returns what shares an event loop among the guarded connections. */
  FairTurns getTurns(EventLoop loop) {
    return turns.computeIfAbsent(loop, RequestGuards::newTurns);
  }

  /** Returns the largest head of a request in bytes, with its request line. */
  int getMaxHeadBytes() {
    return limits.get().map(ClientLimits::maxHeaderBytes).orElse(DEFAULT_HEADER_BYTES);
  }

  Duration getHeadTimeout() {
    return limits.get().map(ClientLimits::headerTimeout).orElse(DEFAULT_HEADER_TIMEOUT);
  }

  long nanoTime() {
    return clock.nanoTime();
  }

  Duration getRetryAfter() {
    return budget.getRetryAfter();
  }

  /** Creates an empty reservation for the heads of the requests of a peer. */
  ByteBudget.Reservation newReservation(Channel channel) {
    SocketAddress peer = channel.remoteAddress();
    String name =
        peer instanceof InetSocketAddress address ? address.getHostString() : String.valueOf(peer);
    ByteClaim claim =
        new ByteClaim(
            ByteUse.HEAD, Set.of(new ByteOwner(ByteOwner.Kind.PEER_ADDRESS, name)), false);
    return budget.tryReserve(claim, 0).orElseThrow();
  }

  /** Records that a connection is closed, with at most one log line a second for each reason. */
  void recordClose(Reason reason, SocketAddress peer) {
    Tally tally = tallies.get(reason);
    tally.counter.increment();
    long count;
    synchronized (tally) {
      tally.unlogged++;
      long now = clock.nanoTime();
      if (tally.loggedNanos.filter(t -> now - t < LOG_INTERVAL.toNanos()).isPresent()) {
        return;
      }
      tally.loggedNanos = Optional.of(now);
      count = tally.unlogged;
      tally.unlogged = 0;
    }
    log.warn("connections closed", "reason", reason, "count", count, "last_peer", peer);
  }
}
