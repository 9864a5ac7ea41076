package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks and tells the peers about the configuration. Implementations are thread safe. */
public interface ConfigurationPeers {

  /**
   * Gets the live peers of the same availability zone.
   *
   * @return the peers, never null
   */
  List<PeerId> getZonePeers();

  /**
   * Gets some live peers of other availability zones.
   *
   * @return the peers, never null
   */
  List<PeerId> getRemotePeers();

  /**
   * Asks a peer what it has in force.
   *
   * @param peer the peer, not null
   * @return a future of the answer, which fails if none comes in time
   */
  CompletableFuture<PeerAnswer> ask(PeerId peer);

  /**
   * Fetches the text of a version from a peer.
   *
   * @param peer the peer, not null
   * @param record the version, not null
   * @return a future of the text, not checked yet, which fails if the peer does not have it
   */
  CompletableFuture<String> fetch(PeerId peer, ConfigurationRecord record);

  /**
   * Tells the peers that a version is in force here.
   *
   * @param version the version, 1 or more
   */
  void tell(long version);
}
