package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Asks peers for configuration versions and notifies them of new ones. Implementations are thread
 * safe.
 */
public interface ConfigurationPeers {

  /**
   * Returns the live peers of the same availability zone.
   *
   * @return the peers, never null
   */
  List<PeerId> getZonePeers();

  /**
   * Returns live peers of other availability zones.
   *
   * @return the peers, never null
   */
  List<PeerId> getRemotePeers();

  /**
   * Asks a peer which version it has in force and how old its evidence is.
   *
   * @param peer the peer, not null
   * @return a future of the answer, which fails if none arrives in time
   */
  CompletableFuture<PeerAnswer> ask(PeerId peer);

  /**
   * Fetches the text of a version from a peer.
   *
   * @param peer the peer, not null
   * @param record the version, not null
   * @return a future of the text, whose digest the caller must check; the future fails if the peer
   *     does not have the text
   */
  CompletableFuture<String> fetchText(PeerId peer, ConfigurationRecord record);

  /**
   * Notifies the peers that this process has put a version in force.
   *
   * @param version the version, 1 or more
   */
  void notifyInForce(long version);
}
