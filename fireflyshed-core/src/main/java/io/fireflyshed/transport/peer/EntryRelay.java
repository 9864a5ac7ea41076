package io.fireflyshed.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.RemoteLoads;
import io.fireflyshed.coordination.relay.RelayPeerSelector;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.protocol.poison.CrashReportCodec;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.EntryPeer;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.RemoteTables;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.forward.AcceptedRelay;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.RequestRelay;
import io.fireflyshed.transport.forward.ResponsePart;
import io.fireflyshed.transport.log.EventLog;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Relays requests to other entries and asks them about tables, and does both for them.
 *
 * <p>It takes no part in the membership of entries: connections are opened when they are needed and
 * closed when they are idle. Thread safe.
 */
public final class EntryRelay
    implements RequestRelay, RemoteTables, RemoteLoads, PeerFrameReceiver, AutoCloseable {

  /** Lets an entry start first; the classes of frames are loaded before they are needed. */
  private static final Duration WARM_UP_DELAY = Duration.ofSeconds(10);

  private final PeerSettings settings;
  private final Supplier<List<EntryPeer>> peers;
  private final Runnable refresh;
  private final PeerConnections connections;
  private final RelayClient client;
  private final RelayServer server;
  private final QuestionServer questionServer;

  /**
   * Creates a relay with unlimited memory, which must be started to serve requests for others.
   *
   * @param settings the name, availability zone and address of this entry, not null
   * @param peers lists the known entries, not null; rows of this entry are ignored
   * @param services what this entry does for others, not null
   * @param clock the monotonic clock of this process, not null
   * @param random breaks ties between entries; used by one thread only, not null
   * @param registry registers the counters of relays and offers, not null
   */
  public EntryRelay(
      PeerSettings settings,
      Supplier<List<EntryPeer>> peers,
      EntryServices services,
      MonotonicClock clock,
      UniformRandomProvider random,
      MeterRegistry registry) {
    this(settings, peers, () -> {}, services, ByteBudget.unlimited(clock), clock, random, registry);
  }

  /**
   * Creates a relay that asks for a new list of entries when it finds none to offer a request to.
   *
   * @param settings the name, availability zone and address of this entry, not null
   * @param peers lists the known entries, not null; rows of this entry are ignored
   * @param refresh reads the list of entries again, not null; it may be called for each request, on
   *     any thread, and must not block
   * @param services what this entry does for others, not null
   * @param budget counts the bytes that this process holds, not null
   * @param clock the monotonic clock of this process, not null
   * @param random breaks ties between entries; used by one thread only, not null
   * @param registry registers the counters of relays and offers, not null
   */
  public EntryRelay(
      PeerSettings settings,
      Supplier<List<EntryPeer>> peers,
      Runnable refresh,
      EntryServices services,
      ByteBudget budget,
      MonotonicClock clock,
      UniformRandomProvider random,
      MeterRegistry registry) {
    this(
        settings,
        RelayTiming.ofDefaults(),
        peers,
        refresh,
        services,
        budget,
        clock,
        random,
        registry);
  }

  /** Creates a relay with other times than the default. */
  EntryRelay(
      PeerSettings settings,
      RelayTiming timing,
      Supplier<List<EntryPeer>> peers,
      Runnable refresh,
      EntryServices services,
      ByteBudget budget,
      MonotonicClock clock,
      UniformRandomProvider random,
      MeterRegistry registry) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.refresh = Objects.requireNonNull(refresh, "refresh");
    Objects.requireNonNull(services, "services");
    Objects.requireNonNull(clock, "clock");
    RelayMetrics metrics = new RelayMetrics(Objects.requireNonNull(registry, "registry"));
    EventLog log = new EventLog("relay");
    connections = new PeerConnections(settings.self(), this);
    RelayPeerSelector selector = new RelayPeerSelector(settings.self(), settings.zone(), random);
    client =
        new RelayClient(connections, peers, refresh, selector, budget, clock, timing, metrics, log);
    server =
        new RelayServer(
            connections, services.admission(), services.forwarder(), budget, clock, metrics, log);
    questionServer = new QuestionServer(connections, services, log);
  }

  /**
   * Starts to listen for other entries.
   *
   * @return the bound address, never null
   */
  public InetSocketAddress start() {
    InetSocketAddress bound = connections.listen(settings.listenAddress());
    connections
        .getExecutor()
        .schedule(this::warmUp, WARM_UP_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    return bound;
  }

  @Override
  public Flux<ResponsePart> relay(RelayedRequest request) {
    return client.relay(Objects.requireNonNull(request, "request"));
  }

  @Override
  public Mono<AcceptedRelay> offer(RelayedRequest request) {
    return client.offer(Objects.requireNonNull(request, "request"));
  }

  @Override
  public CompletableFuture<TableChanges> ask(
      EntryPeer entry, TableQuestion question, Duration timeout) {
    Objects.requireNonNull(question, "question");
    return client
        .ask(
            entry,
            id -> TableFrameUtils.toQuestion(id, question),
            PeerProto.Frame.BodyCase.TABLE_ANSWER,
            timeout)
        .thenApply(
            frame -> TableFrameUtils.fromAnswer(entry.id(), question, frame.getTableAnswer()));
  }

  @Override
  public CompletableFuture<FleetLoad> ask(
      EntryPeer entry, FleetLoad own, boolean isZone, Duration timeout) {
    Objects.requireNonNull(own, "own");
    return client
        .ask(
            entry,
            id -> LoadFrameUtils.toQuestion(id, own, isZone),
            PeerProto.Frame.BodyCase.LOAD_ANSWER,
            timeout)
        .thenApply(frame -> LoadFrameUtils.fromAnswer(frame.getLoadAnswer()));
  }

  /**
   * Has another entry write a crash report.
   *
   * @param entry the entry, not null
   * @param report the report, not null
   * @param timeout the longest wait, not null
   * @return a future that completes once the entry has taken the report, and fails if it doesn't in
   *     time
   */
  public CompletableFuture<Void> write(EntryPeer entry, CrashReport report, Duration timeout) {
    PeerProto.CrashNotice notice =
        PeerProto.CrashNotice.newBuilder().setReport(CrashReportCodec.encode(report)).build();
    return client
        .ask(
            entry,
            id -> PeerProto.Frame.newBuilder().setRequest(id).setCrashNotice(notice).build(),
            PeerProto.Frame.BodyCase.CRASH_ACK,
            timeout)
        .thenAccept(frame -> {});
  }

  @Override
  public boolean isAvailable() {
    boolean isAvailable = peers.get().stream().anyMatch(peer -> !peer.id().equals(settings.self()));
    if (!isAvailable) {
      refresh.run();
    }
    return isAvailable;
  }

  /** Refuses the offers of other entries from now on. Requests that were accepted go on. */
  public void stopAccepting() {
    server.stopAccepting();
  }

  /**
   * Waits until no request is served for another entry.
   *
   * @param timeout the longest wait, not null
   * @return a future of the number of requests that are still served, which never fails
   */
  public CompletableFuture<Integer> awaitIdle(Duration timeout) {
    CompletableFuture<Integer> result = new CompletableFuture<>();
    try {
      connections.getExecutor().execute(() -> server.awaitIdle(result, timeout));
    } catch (RejectedExecutionException e) {
      // After the end of the connections nothing is served.
      result.complete(0);
    }
    return result;
  }

  /**
   * Gets the number of requests that are served for other entries.
   *
   * @return the number, including accepted offers whose requests have not arrived
   */
  public int getServedCount() {
    return server.getServedCount();
  }

  /**
   * Gets the number of open connections in both directions.
   *
   * @return the number, including a listening socket
   */
  public int getChannelCount() {
    return connections.getChannelCount();
  }

  /** Fails the requests that are relayed, aborts those that are served and closes connections. */
  @Override
  public void close() {
    client.execute(client::close);
    connections.close();
  }

  @Override
  public void onReady(PeerId peer, Channel channel) {
    client.onReady(peer, channel);
  }

  @Override
  public void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {
    if (frame.getBodyCase() == PeerProto.Frame.BodyCase.PING) {
      connections.writeOrClose(channel, newAck(frame.getPing().getSequence()));
    }
    questionServer.onFrame(peer, frame, channel);
    client.onFrame(frame, channel);
    server.onFrame(peer, frame, channel);
  }

  @Override
  public void onWritable(PeerId peer, Channel channel) {
    client.onWritable(channel);
    server.onWritable(channel);
  }

  @Override
  public void onClosed(PeerId peer, Channel channel) {
    server.onClosed(channel);
  }

  /** Loads the classes of frames, so that the first offer is not late. */
  private void warmUp() {
    try {
      PeerProto.Frame.parseFrom(newAck(1).toByteArray());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a frame of this process can't be read", e);
    }
  }

  private PeerProto.Frame newAck(long sequence) {
    PeerProto.Ack.Builder ack =
        PeerProto.Ack.newBuilder().setSequence(sequence).setSubject(settings.self().value());
    return PeerProto.Frame.newBuilder().setAck(ack).build();
  }
}
