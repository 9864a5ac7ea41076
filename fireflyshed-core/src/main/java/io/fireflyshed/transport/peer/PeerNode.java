package io.fireflyshed.transport.peer;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.coordination.membership.MemberState;
import io.fireflyshed.coordination.membership.MembershipMessage;
import io.fireflyshed.coordination.membership.MembershipSend;
import io.fireflyshed.coordination.membership.MembershipSettings;
import io.fireflyshed.coordination.membership.SwimMembership;
import io.fireflyshed.protocol.peer.PeerFrameUtils;
import io.fireflyshed.protocol.peer.PeerNoticeUtils;
import io.fireflyshed.protocol.peer.generated.PeerProto;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.peer.PeerNotice;
import io.fireflyshed.transport.log.LoggingScheduler;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the membership protocol of one process, and carries notices and questions between entry
 * processes.
 *
 * <p>A notice is sent to every peer of the same availability zone and to two peers of each other
 * zone, which relay it to the peers of their own zone; no process sends more frames than that for
 * one notice. The membership is confined to one thread; all public methods are thread safe.
 */
public final class PeerNode implements PeerBus, PeerFrameReceiver, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);
  private static final int RELAYS_PER_ZONE = 2;

  /** The retry delay of offers of relays, which this process never accepts. */
  private static final Duration RELAY_REFUSAL = Duration.ofMinutes(1);

  private static final int MAX_SEEN_NOTICES = 10_000;
  private static final Duration SEEN_NOTICE_RETENTION = Duration.ofMinutes(1);

  private final PeerSettings settings;
  private final MembershipSettings membershipSettings;
  private final MonotonicClock clock;
  private final UniformRandomProvider random;
  private final PeerConnections connections;
  private final ScheduledExecutorService executor;
  private final List<Consumer<PeerNotice>> subscribers = new CopyOnWriteArrayList<>();
  private final Cache<String, Boolean> seenNotices =
      Caffeine.newBuilder()
          .maximumSize(MAX_SEEN_NOTICES)
          .expireAfterWrite(SEEN_NOTICE_RETENTION)
          .build();
  private final AtomicLong nextNoticeSequence = new AtomicLong(1);
  private final PeerQuestions questions;
  private volatile PeerView view = new PeerView(Map.of());
  private volatile Set<PeerId> deadPeers = Set.of();
  private SwimMembership membership;
  private MemberRecord record;

  /**
   * Creates a node, which is idle until it is started.
   *
   * @param settings the settings of the node, not null
   * @param membershipSettings the settings of the membership protocol, not null
   * @param clock the monotonic clock of this process, not null
   * @param random the source of randomness, used by one thread only, not null
   */
  public PeerNode(
      PeerSettings settings,
      MembershipSettings membershipSettings,
      MonotonicClock clock,
      UniformRandomProvider random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.membershipSettings = Objects.requireNonNull(membershipSettings, "membershipSettings");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.random = Objects.requireNonNull(random, "random");
    this.connections = new PeerConnections(settings.self(), this);
    this.executor = new LoggingScheduler("peers");
    this.questions = new PeerQuestions(connections, this::findAddress);
  }

  /**
   * Starts to listen for peers and to probe them.
   *
   * @return the bound address, never null
   */
  public InetSocketAddress start() {
    InetSocketAddress bound = connections.listen(settings.listenAddress());
    String address = settings.listenAddress().getHostString() + ":" + bound.getPort();
    record = new MemberRecord(settings.self(), address, settings.zone(), 1, MemberState.ALIVE);
    membership = new SwimMembership(record, membershipSettings, random, clock.nanoTime());
    long tick = membershipSettings.tick().toMillis();
    executor.scheduleAtFixedRate(withErrorLogging(this::tick), tick, tick, TimeUnit.MILLISECONDS);
    return bound;
  }

  /**
   * Returns the member record of this process, by which other processes can reach it.
   *
   * @return the record, null before the start
   */
  public MemberRecord getRecord() {
    return record;
  }

  /**
   * Adds processes to contact, as listed by the platform.
   *
   * @param records the records of the processes, not null
   */
  public void addSeeds(Collection<MemberRecord> records) {
    execute(
        () -> {
          records.stream()
              .filter(r -> !r.id().equals(settings.self()))
              .forEach(r -> membership.addSeed(r, clock.nanoTime()));
          publishView();
        });
  }

  /**
   * Connects to processes whose ids are not known yet.
   *
   * @param addresses the addresses, not null
   */
  public void openSeeds(Collection<InetSocketAddress> addresses) {
    addresses.forEach(connections::connectToAddress);
  }

  /**
   * Returns the client through which questions are sent to peers.
   *
   * @return the client, never null
   */
  public PeerQuestions getQuestions() {
    return questions;
  }

  /**
   * Returns the live peers of the same availability zone.
   *
   * @return the peers in ascending order of their ids, never null
   */
  public List<PeerId> getZonePeers() {
    return view.getPeersInZone(settings.zone());
  }

  /**
   * Returns the live peers of all other availability zones.
   *
   * @return the peers, never null
   */
  public List<PeerId> getRemotePeers() {
    return view.getPeersOutsideZone(settings.zone());
  }

  /**
   * Tests whether a process was live and has died or left since.
   *
   * @param peer the process, not null
   * @return true if the membership still keeps the record of the process, as dead or left
   */
  public boolean isDead(PeerId peer) {
    return deadPeers.contains(peer);
  }

  /**
   * Returns the number of open connections, not including the listening socket.
   *
   * @return the number of connections
   */
  public int getOpenConnections() {
    return connections.getChannelCount() - 1;
  }

  @Override
  public PeerId getSelf() {
    return settings.self();
  }

  @Override
  public Set<PeerId> getLivePeers() {
    return view.members().keySet();
  }

  @Override
  public void publish(PeerNotice notice) {
    PeerProto.Notice message = newMessage(notice);
    PeerView currentView = view;
    sendAll(currentView.getPeersInZone(settings.zone()), message);
    for (AvailabilityZone zone : currentView.getZones()) {
      if (!zone.equals(settings.zone())) {
        List<PeerId> peers = currentView.getPeersInZone(zone);
        List<PeerId> relays = peers.subList(0, Math.min(RELAYS_PER_ZONE, peers.size()));
        sendAll(relays, message.toBuilder().setRelay(true).build());
      }
    }
  }

  /**
   * Sends a notice to the peers of the same availability zone only. The notice may be lost.
   *
   * @param notice the notice, not null
   */
  public void publishToZone(PeerNotice notice) {
    sendAll(getZonePeers(), newMessage(notice));
  }

  @Override
  public void send(PeerId receiver, PeerNotice notice) {
    sendAll(List.of(receiver), newMessage(notice));
  }

  @Override
  public void subscribe(Consumer<PeerNotice> receiver) {
    subscribers.add(Objects.requireNonNull(receiver, "receiver"));
  }

  /**
   * Notifies some peers that this process leaves.
   *
   * @return a future that completes when the messages have been passed to the connections
   */
  public CompletableFuture<Void> leave() {
    return CompletableFuture.runAsync(() -> sendMembershipMessages(membership.leave()), executor);
  }

  @Override
  public void close() {
    executor.shutdownNow();
    connections.close();
  }

  @Override
  public void onReady(PeerId peer, Channel channel) {
    LOG.debug("peers: connected to {}", peer);
    execute(
        () -> {
          if (membership.find(peer).isEmpty()) {
            MembershipMessage ping = new MembershipMessage.Ping(0, List.of(record));
            connections.write(channel, PeerFrameUtils.toFrame(ping));
          }
        });
  }

  @Override
  public void onClosed(PeerId peer, Channel channel) {
    LOG.debug("peers: connection to {} closed", peer);
  }

  @Override
  public void onFrame(PeerId peer, PeerProto.Frame frame, Channel channel) {
    if (frame.getBodyCase() == PeerProto.Frame.BodyCase.NOTICE) {
      onNotice(frame.getNotice());
    } else if (frame.getBodyCase() == PeerProto.Frame.BodyCase.RELAY_OFFER) {
      connections.write(channel, RelayFrameUtils.toRefusal(frame.getRequest(), RELAY_REFUSAL));
    } else if (!questions.onFrame(frame, channel)) {
      PeerFrameUtils.toMembership(frame)
          .ifPresent(
              message ->
                  execute(
                      () -> {
                        sendMembershipMessages(
                            membership.onMessage(peer, message, clock.nanoTime()));
                        publishView();
                      }));
    }
  }

  private void onNotice(PeerProto.Notice message) {
    PeerNotice notice = PeerNoticeUtils.fromMessage(message);
    String key = message.getOrigin() + "/" + message.getSequence();
    boolean isNew = seenNotices.asMap().putIfAbsent(key, Boolean.TRUE) == null;
    if (!isNew || message.getOrigin().equals(settings.self().value())) {
      return;
    }
    if (message.getRelay()) {
      sendAll(getZonePeers(), message.toBuilder().setRelay(false).build());
    }
    subscribers.forEach(s -> s.accept(notice));
  }

  private void tick() {
    sendMembershipMessages(membership.onTick(clock.nanoTime()));
    publishView();
  }

  private void publishView() {
    Set<PeerId> live = membership.getLive();
    Map<PeerId, MemberRecord> members = new HashMap<>();
    live.forEach(p -> membership.find(p).ifPresent(r -> members.put(p, r)));
    if (!members.equals(view.members())) {
      deadPeers =
          membership.getMembers().stream()
              .filter(r -> !r.state().isLive())
              .map(MemberRecord::id)
              .collect(Collectors.toUnmodifiableSet());
      view = new PeerView(members);
    }
  }

  private void sendMembershipMessages(List<MembershipSend> sends) {
    for (MembershipSend send : sends) {
      membership
          .find(send.receiver())
          .ifPresent(
              r ->
                  connections.send(
                      r.id(),
                      PeerView.parseAddress(r.address()),
                      PeerFrameUtils.toFrame(send.message())));
    }
  }

  private PeerProto.Notice newMessage(PeerNotice notice) {
    return PeerNoticeUtils.toMessage(notice).toBuilder()
        .setOrigin(settings.self().value())
        .setSequence(nextNoticeSequence.getAndIncrement())
        .build();
  }

  private void sendAll(List<PeerId> peers, PeerProto.Notice message) {
    PeerProto.Frame frame = PeerProto.Frame.newBuilder().setNotice(message).build();
    for (PeerId peer : new ArrayList<>(peers)) {
      findAddress(peer).ifPresent(a -> connections.send(peer, a, frame));
    }
  }

  private Optional<InetSocketAddress> findAddress(PeerId peer) {
    return view.findAddress(peer);
  }

  private void execute(Runnable task) {
    if (!executor.isShutdown()) {
      executor.execute(withErrorLogging(task));
    }
  }

  private static Runnable withErrorLogging(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("peers: task failed", e);
      }
    };
  }
}
