package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.Optional;

/** Names what a {@link ConfigurationFollower} wants done. */
public sealed interface FollowerAction {

  /** Reads the end of the chain from the table service. */
  record ReadHead() implements FollowerAction {}

  /**
   * Asks a peer what it has in force and how old its evidence is.
   *
   * @param peer the peer
   */
  record AskPeer(PeerId peer) implements FollowerAction {}

  /**
   * Fetches the text of a version and checks its digest.
   *
   * @param record the version
   * @param source the peer that has it, or empty to read the object store
   */
  record FetchBody(ConfigurationRecord record, Optional<PeerId> source) implements FollowerAction {}

  /**
   * Puts a version in force and tells the peers.
   *
   * @param record the version
   */
  record PutInForce(ConfigurationRecord record) implements FollowerAction {}
}
