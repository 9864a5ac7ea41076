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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the membership of one process and carries notices and questions between processes.
 *
 * <p>A notice goes to each peer of the same availability zone, and to two peers of each other zone,
 * which pass it on to theirs; nobody sends more than that many frames for it. The membership
 * belongs to one thread; all public methods are thread safe.
 */
public final class PeerNode implements PeerBus, PeerFrameReceiver, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);
  private static final int RELAYS = 2;
  private static final int MAX_REMEMBERED = 10_000;
  private static final Duration MEMORY = Duration.ofMinutes(1);

  private final PeerSettings settings;
  private final MembershipSettings membershipSettings;
  private final MonotonicClock clock;
  private final UniformRandomProvider random;
  private final PeerConnections connections;
  private final ScheduledExecutorService thread;
  private final List<Consumer<PeerNotice>> subscribers = new CopyOnWriteArrayList<>();
  private final Cache<String, Boolean> seen =
      Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).expireAfterWrite(MEMORY).build();
  private final AtomicLong nextNotice = new AtomicLong(1);
  private final PeerQuestions questions;
  private volatile PeerView view = new PeerView(Map.of());
  private volatile Set<PeerId> dead = Set.of();
  private SwimMembership membership;
  private MemberRecord record;

  /**
   * Creates a node that does nothing until it is started.
   *
   * @param settings the settings, not null
   * @param membershipSettings the settings of the membership, not null
   * @param clock the clock of this process, not null
   * @param random the source of randomness, used by one thread, not null
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
    this.thread = Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "peers"));
    this.questions = new PeerQuestions(connections, this::findAddress);
  }

  /**
   * Starts to listen and to probe.
   *
   * @return the bound address, never null
   */
  public InetSocketAddress start() {
    InetSocketAddress bound = connections.listen(settings.listen());
    String address = settings.listen().getHostString() + ":" + bound.getPort();
    record = new MemberRecord(settings.self(), address, settings.zone(), 1, MemberState.ALIVE);
    membership = new SwimMembership(record, membershipSettings, random, clock.nanoTime());
    long tick = membershipSettings.tick().toMillis();
    thread.scheduleAtFixedRate(guard(this::tick), tick, tick, TimeUnit.MILLISECONDS);
    return bound;
  }

  /**
   * Gets the record by which others can be told of this process.
   *
   * @return the record, never null after the start
   */
  public MemberRecord getRecord() {
    return record;
  }

  /**
   * Takes processes that the platform listed.
   *
   * @param records the processes, not null
   */
  public void addSeeds(Collection<MemberRecord> records) {
    run(
        () -> {
          records.stream()
              .filter(r -> !r.id().equals(settings.self()))
              .forEach(r -> membership.addSeed(r, clock.nanoTime()));
          publishView();
        });
  }

  /**
   * Connects to processes that are only known by their addresses.
   *
   * @param addresses the addresses, not null
   */
  public void openSeeds(Collection<InetSocketAddress> addresses) {
    addresses.forEach(connections::open);
  }

  /**
   * Gets the questions that can be put to peers.
   *
   * @return the questions, never null
   */
  public PeerQuestions getQuestions() {
    return questions;
  }

  /**
   * Gets the live peers of the same availability zone.
   *
   * @return the peers in the order of their names, never null
   */
  public List<PeerId> getZonePeers() {
    return view.getZone(settings.zone());
  }

  /**
   * Gets the live peers of all other availability zones.
   *
   * @return the peers, never null
   */
  public List<PeerId> getRemotePeers() {
    return view.getOthers(settings.zone());
  }

  /**
   * Tests whether a process was live once and is now believed to be gone.
   *
   * @param peer the process, not null
   * @return true if it died or left and is still remembered
   */
  public boolean isDead(PeerId peer) {
    return dead.contains(peer);
  }

  /**
   * Gets the number of open connections, without the listening socket.
   *
   * @return the count
   */
  public int getOpenConnections() {
    return connections.getOpen() - 1;
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
    PeerView now = view;
    sendAll(now.getZone(settings.zone()), message);
    for (AvailabilityZone zone : now.getZones()) {
      if (!zone.equals(settings.zone())) {
        List<PeerId> peers = now.getZone(zone);
        List<PeerId> relays = peers.subList(0, Math.min(RELAYS, peers.size()));
        sendAll(relays, message.toBuilder().setRelay(true).build());
      }
    }
  }

  /**
   * Sends a notice to the peers of the same availability zone only. It may be lost.
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
   * Tells the peers that this process leaves.
   *
   * @return a future that completes when the messages are handed over
   */
  public CompletableFuture<Void> leave() {
    return CompletableFuture.runAsync(() -> sendMembership(membership.leave()), thread);
  }

  @Override
  public void close() {
    thread.shutdownNow();
    connections.close();
  }

  @Override
  public void onReady(PeerId peer, Channel channel) {
    LOG.debug("peers: connected to {}", peer);
    run(
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
    } else if (!questions.onFrame(frame, channel)) {
      PeerFrameUtils.toMembership(frame)
          .ifPresent(
              message ->
                  run(
                      () -> {
                        sendMembership(membership.onMessage(peer, message, clock.nanoTime()));
                        publishView();
                      }));
    }
  }

  private void onNotice(PeerProto.Notice message) {
    PeerNotice notice = PeerNoticeUtils.fromMessage(message);
    String key = message.getOrigin() + "/" + message.getSequence();
    boolean isNew = seen.asMap().putIfAbsent(key, Boolean.TRUE) == null;
    if (!isNew || message.getOrigin().equals(settings.self().value())) {
      return;
    }
    if (message.getRelay()) {
      sendAll(getZonePeers(), message.toBuilder().setRelay(false).build());
    }
    subscribers.forEach(s -> s.accept(notice));
  }

  private void tick() {
    sendMembership(membership.onTick(clock.nanoTime()));
    publishView();
  }

  private void publishView() {
    Set<PeerId> live = membership.getLive();
    Map<PeerId, MemberRecord> members = new HashMap<>();
    live.forEach(p -> membership.find(p).ifPresent(r -> members.put(p, r)));
    if (!members.equals(view.members())) {
      dead =
          membership.getMembers().stream()
              .filter(r -> !r.state().isLive())
              .map(MemberRecord::id)
              .collect(Collectors.toUnmodifiableSet());
      view = new PeerView(members);
    }
  }

  private void sendMembership(List<MembershipSend> sends) {
    for (MembershipSend send : sends) {
      membership
          .find(send.receiver())
          .ifPresent(
              r ->
                  connections.send(
                      r.id(),
                      PeerView.toAddress(r.address()),
                      PeerFrameUtils.toFrame(send.message())));
    }
  }

  private PeerProto.Notice newMessage(PeerNotice notice) {
    return PeerNoticeUtils.toMessage(notice).toBuilder()
        .setOrigin(settings.self().value())
        .setSequence(nextNotice.getAndIncrement())
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

  private void run(Runnable step) {
    if (!thread.isShutdown()) {
      thread.execute(guard(step));
    }
  }

  private static Runnable guard(Runnable step) {
    return () -> {
      try {
        step.run();
      } catch (RuntimeException e) {
        LOG.error("peers: step failed", e);
      }
    };
  }
}
