package io.fireflyshed.bench.configuration;

import io.fireflyshed.coordination.configuration.ConfigurationFollower;
import io.fireflyshed.coordination.configuration.FollowerSettings;
import io.fireflyshed.coordination.membership.MembershipSettings;
import io.fireflyshed.standins.platform.InMemoryTableService;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.object.ObjectStore;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.transport.configuration.ConfigurationAgent;
import io.fireflyshed.transport.configuration.ConfigurationPeers;
import io.fireflyshed.transport.configuration.ConfigurationStore;
import io.fireflyshed.transport.configuration.LoneConfigurationPeers;
import io.fireflyshed.transport.configuration.NodeConfigurationPeers;
import io.fireflyshed.transport.peer.PeerNode;
import io.fireflyshed.transport.peer.PeerSettings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;

/** Runs several configuration agents with peers over loopback in three availability zones. */
final class EntryGroup implements AutoCloseable {

  private static final int ZONES = 3;
  private static final long TICK_MILLIS = 500;
  private static final long POLL_MILLIS = 1;

  private final InMemoryTableService table = new InMemoryTableService();
  private final ConfigurationStore store = new ConfigurationStore(table, new MapStore());
  private final List<PeerNode> nodes = new ArrayList<>();
  private final List<ScheduledExecutorService> threads = new ArrayList<>();
  private final List<AtomicLong> versions = new ArrayList<>();
  private final List<AtomicLong> inForceNanos = new ArrayList<>();

  EntryGroup(int entries, boolean hasPeers) {
    for (int i = 0; i < entries; i++) {
      start(i, hasPeers);
    }
    nodes.forEach(n -> n.addSeeds(nodes.stream().map(PeerNode::getRecord).toList()));
  }

  ConfigurationStore getStore() {
    return store;
  }

  long getReads() {
    return table.getReads();
  }

  void awaitPeers(Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (nodes.stream().anyMatch(n -> n.getLivePeers().size() < nodes.size() - 1)) {
      check(deadline);
    }
  }

  /** Waits until all have a version and gets when the last one had it. */
  long awaitVersion(long version, Duration limit) throws InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (versions.stream().anyMatch(v -> v.get() < version)) {
      check(deadline);
    }
    long last = inForceNanos.get(0).get();
    for (AtomicLong nanos : inForceNanos) {
      last = nanos.get() - last > 0 ? nanos.get() : last;
    }
    return last;
  }

  @Override
  public void close() {
    threads.forEach(ScheduledExecutorService::shutdownNow);
    nodes.forEach(PeerNode::close);
  }

  private static void check(long deadlineNanos) throws InterruptedException {
    if (System.nanoTime() - deadlineNanos > 0) {
      throw new IllegalStateException("the entries did not follow in time");
    }
    Thread.sleep(POLL_MILLIS);
  }

  private void start(int index, boolean hasPeers) {
    MonotonicClock clock = MonotonicClock.system();
    PeerId self = new PeerId("e" + index);
    ConfigurationPeers peers = new LoneConfigurationPeers();
    if (hasPeers) {
      PeerNode node =
          new PeerNode(
              new PeerSettings(
                  self,
                  new AvailabilityZone("zone-" + index % ZONES),
                  new InetSocketAddress("127.0.0.1", 0)),
              MembershipSettings.ofDefaults(),
              clock,
              RandomSource.XO_RO_SHI_RO_128_PP.create(index));
      node.start();
      nodes.add(node);
      peers = new NodeConfigurationPeers(node);
    }
    ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    threads.add(thread);
    AtomicLong version = new AtomicLong();
    AtomicLong nanos = new AtomicLong(clock.nanoTime());
    versions.add(version);
    inForceNanos.add(nanos);
    ConfigurationFollower follower =
        new ConfigurationFollower(
            self,
            FollowerSettings.ofDefaults(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(index),
            clock.nanoTime());
    ConfigurationAgent agent =
        new ConfigurationAgent(
            follower,
            store,
            peers,
            clock,
            thread,
            (record, text) -> {
              nanos.set(clock.nanoTime());
              version.set(record.version());
            });
    if (peers instanceof NodeConfigurationPeers connected) {
      connected.connect(agent);
    }
    long phase = index * TICK_MILLIS / 9;
    thread.scheduleAtFixedRate(agent::tick, phase, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Keeps objects in memory. */
  private static final class MapStore implements ObjectStore {
    private final Map<String, String> texts = new ConcurrentHashMap<>();

    @Override
    public CompletableFuture<Optional<String>> read(String name) {
      return CompletableFuture.completedFuture(Optional.ofNullable(texts.get(name)));
    }

    @Override
    public CompletableFuture<Void> write(String name, String text) {
      texts.put(name, text);
      return CompletableFuture.completedFuture(null);
    }
  }
}
