package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.peer.PeerId;
import java.util.Optional;

/** An operation that a {@link ConfigurationFollower} requests. */
public sealed interface FollowerAction {

  /** Reads the head of the configuration history from the table service. */
  record ReadHead() implements FollowerAction {}

  /**
   * Asks a peer which version it has in force and how old its evidence is.
   *
   * @param peer the peer
   */
  record AskPeer(PeerId peer) implements FollowerAction {}

  /**
   * Fetches the text of a version and checks its digest.
   *
   * @param record the version
   * @param source the peer to fetch the text from, or empty to read it from the object store
   */
  record FetchBody(ConfigurationRecord record, Optional<PeerId> source) implements FollowerAction {}

  /**
   * Puts a version in force and notifies the peers.
   *
   * @param record the version
   */
  record PutInForce(ConfigurationRecord record) implements FollowerAction {}
}
