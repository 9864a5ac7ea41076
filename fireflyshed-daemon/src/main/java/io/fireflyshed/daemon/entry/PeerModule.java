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
import io.fireflyshed.transport.peer.PeerDirectory;
import io.fireflyshed.transport.peer.PeerNode;
import io.fireflyshed.transport.peer.PeerSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Joins the peers of one entry process, or stands in for them if it has none. */
final class PeerModule implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerModule.class);
  private static final long LONE_SCAN_SECONDS = 5;
  private static final long SCANS_SKIPPED_WITH_PEERS = 60;

  private final Optional<PeerNode> node;
  private final List<InetSocketAddress> seeds;
  private final PeerBus bus;
  private final ConfigurationPeers configurationPeers;
  private final PeerDirectory directory;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "peer-directory"));
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

  /** Starts to listen and to look for peers. */
  void start(ConfigurationAgent agent) {
    if (node.isEmpty()) {
      return;
    }
    InetSocketAddress bound = node.get().start();
    LOG.info("peers: {} listening on {}", bus.getSelf(), bound);
    if (configurationPeers instanceof NodeConfigurationPeers peers) {
      peers.connect(agent);
    }
    thread.scheduleWithFixedDelay(this::scan, 0, LONE_SCAN_SECONDS, TimeUnit.SECONDS);
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

  /** Tells the peers and the directory that this process leaves. */
  void leave() {
    node.ifPresent(
        n -> {
          n.leave().join();
          directory.remove(n.getSelf());
        });
  }

  @Override
  public void close() {
    thread.shutdownNow();
    node.ifPresent(PeerNode::close);
  }

  private void scan() {
    boolean hasPeers = !bus.getLivePeers().isEmpty();
    if (hasPeers && scans++ % SCANS_SKIPPED_WITH_PEERS != 0) {
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
                onRecords(records);
              } else {
                LOG.warn("peers: reading the directory failed: {}", error.getMessage());
              }
            });
  }

  private void onRecords(List<MemberRecord> records) {
    MemberRecord own = node.get().getRecord();
    node.get().addSeeds(records);
    if (records.stream().noneMatch(r -> r.id().equals(own.id()))) {
      directory.add(own);
    }
    List<PeerId> near = node.get().getZonePeers();
    boolean isFirst = near.isEmpty() || own.id().compareTo(near.get(0)) < 0;
    if (isFirst) {
      records.stream().map(MemberRecord::id).filter(node.get()::isDead).forEach(directory::remove);
    }
  }
}
