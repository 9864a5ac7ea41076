package io.fireflyshed.daemon.entry;

import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.coordination.membership.MembershipSettings;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.LonePeerBus;
import io.fireflyshed.state.peer.PeerBus;
import io.fireflyshed.state.peer.PeerId;
import io.fireflyshed.state.table.TableService;
import io.fireflyshed.transport.configuration.ConfigurationAgent;
import io.fireflyshed.transport.configuration.ConfigurationPeers;
import io.fireflyshed.transport.configuration.LoneConfigurationPeers;
import io.fireflyshed.transport.configuration.NodeConfigurationPeers;
import io.fireflyshed.transport.log.LoggingScheduler;
import io.fireflyshed.transport.peer.PeerDirectory;
import io.fireflyshed.transport.peer.PeerNode;
import io.fireflyshed.transport.peer.PeerSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connects an entry process to its peers, or runs it without peers if no peer address is set. */
final class PeerModule implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerModule.class);
  private static final long SCAN_INTERVAL_SECONDS = 5;

  /** While a live peer is known, the directory is read in only one of this many scans. */
  private static final long SCANS_PER_READ_WITH_PEERS = 60;

  private final Optional<PeerNode> node;
  private final List<InetSocketAddress> seeds;
  private final PeerBus bus;
  private final ConfigurationPeers configurationPeers;
  private final PeerDirectory directory;
  private final ScheduledExecutorService executor = new LoggingScheduler("peer-directory");
  private long scans;

  PeerModule(
      AvailabilityZone zone, SiteSettings settings, TableService table, MonotonicClock clock) {
    seeds = settings.peerSeeds();
    PeerId self = new PeerId("e" + UUID.randomUUID());
    directory = new PeerDirectory(table);
    node =
        settings
            .peerListen()
            .map(
                address ->
                    new PeerNode(
                        new PeerSettings(self, zone, address),
                        MembershipSettings.ofDefaults(),
                        clock,
                        RandomSource.XO_RO_SHI_RO_128_PP.create()));
    bus = node.<PeerBus>map(n -> n).orElseGet(() -> new LonePeerBus(self));
    configurationPeers =
        node.<ConfigurationPeers>map(NodeConfigurationPeers::new)
            .orElseGet(LoneConfigurationPeers::new);
  }

  /** Starts listening and looking for peers; does nothing without a peer address. */
  void start(ConfigurationAgent agent) {
    if (node.isEmpty()) {
      return;
    }
    InetSocketAddress bound = node.get().start();
    LOG.info("peers: {} listening on {}", bus.getSelf(), bound);
    if (configurationPeers instanceof NodeConfigurationPeers peers) {
      peers.connect(agent);
    }
    executor.scheduleWithFixedDelay(this::scan, 0, SCAN_INTERVAL_SECONDS, TimeUnit.SECONDS);
  }

  Optional<PeerNode> getNode() {
    return node;
  }

  PeerBus getBus() {
    return bus;
  }

  ConfigurationPeers getConfigurationPeers() {
    return configurationPeers;
  }

  /** Notifies the peers that this process leaves, and removes it from the directory. */
  void leave() {
    node.ifPresent(
        n -> {
          n.leave().join();
          directory.remove(n.getSelf());
        });
  }

  @Override
  public void close() {
    executor.shutdownNow();
    node.ifPresent(PeerNode::close);
  }

  private void scan() {
    boolean hasPeers = !bus.getLivePeers().isEmpty();
    if (hasPeers && scans++ % SCANS_PER_READ_WITH_PEERS != 0) {
      return;
    }
    if (!hasPeers) {
      node.get().openSeeds(seeds);
    }
    directory
        .read()
        .whenComplete(
            (records, error) -> {
              if (error == null) {
                updateDirectory(records);
              } else {
                LOG.warn("peers: cannot read the peer directory: {}", error.getMessage());
              }
            });
  }

  /**
   * Adds the listed processes as seeds and adds this process if it is not listed. The first process
   * of the zone also removes processes that are dead.
   */
  private void updateDirectory(List<MemberRecord> records) {
    MemberRecord own = node.get().getRecord();
    node.get().addSeeds(records);
    if (records.stream().noneMatch(r -> r.id().equals(own.id()))) {
      directory.add(own);
    }
    List<PeerId> zonePeers = node.get().getZonePeers();
    boolean isFirstInZone = zonePeers.isEmpty() || own.id().compareTo(zonePeers.get(0)) < 0;
    if (isFirstInZone) {
      records.stream().map(MemberRecord::id).filter(node.get()::isDead).forEach(directory::remove);
    }
  }
}
